#pragma once

#include <string>
#include <utility>

namespace snipespar::gateway {

/// Software version that the events of one stream come from. The first event binds the stream to
/// the version of its upstream; only that version can continue it.
class stream_version {
public:
    /// What follows for the first events that an attempt delivers.
    enum class verdict {
        /// They are the first events of the stream, which is bound by them.
        begins,
        /// They continue the stream.
        continues,
        /// They may come from another version.
        differs,
    };

    /// The caller takes up a stream that this version began.
    void bind(std::string software) { required_ = std::move(software); }

    /// The call is sent to an upstream of this version; empty if it is unknown.
    void on_sent(std::string software)
    {
        sent_ = std::move(software);
        is_confirmed_ = false;
    }

    /// Whether events of the current attempt were delivered already.
    bool is_confirmed() const { return is_confirmed_; }

    /// The current attempt delivers its first events. `current`: the version of its upstream as
    /// known now, which differs from that at the dispatch if another process runs there.
    verdict on_first_events(const std::string& current)
    {
        const bool is_known = !sent_.empty() && sent_ == current;
        is_confirmed_ = true;
        if (required_.empty()) {
            // Nobody can continue a stream that an unknown version began.
            required_ = is_known ? sent_ : unknown;
            return verdict::begins;
        }
        return is_known && sent_ == required_ ? verdict::continues : verdict::differs;
    }

    /// The version that has to continue the stream; empty while any can run it.
    const std::string& required() const { return required_; }

    bool is_known() const { return !required_.empty() && required_ != unknown; }

    /// Whether an upstream of this version can run the call.
    bool allows(const std::string& software) const
    {
        return required_.empty() || software == required_;
    }

private:
    // The version of no upstream.
    static constexpr const char* unknown = "unknown:";

    std::string required_;
    std::string sent_;
    bool is_confirmed_ = false;
};

} // namespace snipespar::gateway
