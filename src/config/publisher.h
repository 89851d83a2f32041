#pragma once

#include "config/change.h"
#include "config/layout.h"
#include "config/root.h"
#include "store/object.h"
#include "store/object_reply.h"

#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::config {

/// Result of a change, exactly one of: accepted (`version` is not 0), rejected with findings, or
/// failed with an error in `status`, where Unknown means that the change may have been accepted.
struct publish_result {
    std::uint64_t version = 0;
    findings problems;
    absl::Status status;

    friend bool operator==(const publish_result&, const publish_result&) = default;
};

/// Publishes one change of an environment: reads the accepted version, writes the new parts,
/// replaces the root by one conditional update, and erases parts that are no longer referenced.
/// Starts over when another writer was first. One platform call is outstanding at a time: perform
/// `next()` and pass its reply to `on_reply()` until there is none.
class publisher {
public:
    using change_function = std::function<change_result(const snapshot&)>;

    /// `nonce` must be unique to this change.
    publisher(std::string environment, std::string nonce, change_function change,
              std::size_t max_part_bytes = store::max_value_bytes);

    /// The call to perform; none when `result()` is final.
    const std::optional<store::request>& next() const { return next_; }

    /// Takes the reply to `next()`.
    void on_reply(store::object_reply reply);

    const publish_result& result() const { return result_; }

private:
    enum class step {
        read_root,
        read_part,
        list_parts,
        write_part,
        write_root,
        verify_root,
        erase
    };

    void start_over();
    void on_root(const store::object_reply& reply);
    void on_part(store::object_reply& reply);
    void on_list(const store::object_reply& reply);
    void on_part_written(const store::object_reply& reply);
    void on_root_written(const store::object_reply& reply);
    void on_root_verified(const store::object_reply& reply);
    void read_next_part();
    void build();
    void write_next();
    void accepted(std::uint64_t version);
    void erase_next();
    void fail(absl::Status status);
    bool contains_own_nonce(const root& value) const;

    std::string environment_;
    std::string nonce_;
    change_function change_;
    std::size_t max_part_bytes_;
    step step_ = step::read_root;
    std::optional<store::request> next_;
    publish_result result_;
    unsigned attempts_ = 0;
    unsigned verify_tries_ = 0;

    root base_;
    store::revision base_revision_ = 0;
    part_map base_parts_;
    root target_;
    part_map target_parts_;
    std::vector<std::string> to_write_;
    std::vector<store::object> listed_;
};

} // namespace snipespar::config
