#pragma once

#include "cli/endpoint.h"
#include "control/message.h"
#include "resume/origin_holders.h"
#include "resume/origin_lookup.h"
#include "resume/origin_store.h"
#include "snipespar/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace snipespar::resume {

/// A message to another process.
struct origin_message {
    cli::endpoint to;
    control::message content;

    friend bool operator==(const origin_message&, const origin_message&) = default;
};

/// The outcome of a lookup.
struct origin_result {
    std::uint64_t number = 0;
    /// Absent if nobody who can be reached knows it.
    std::optional<stream_origin> origin;

    friend bool operator==(const origin_result&, const origin_result&) = default;
};

/// What follows from an event: messages to send, and lookups that have ended.
struct origin_actions {
    std::vector<origin_message> messages;
    std::vector<origin_result> results;

    friend bool operator==(const origin_actions&, const origin_actions&) = default;
};

/// Remembers over all gateways which service and software version began each stream. A gateway
/// sends the origin of a stream to a few sidecars and gateways before it passes on the first event,
/// so that a caller can take the stream up at a gateway that has seen nothing of it, also after all
/// gateways were killed. An origin never changes, so that any holder's answer is right.
class origin_directory {
public:
    /// How often the origin of a running stream is recorded again, as holders may have restarted.
    static constexpr duration record_interval = std::chrono::seconds(5);

    /// The known members of the fleet.
    origin_holders& holders() { return holders_; }

    /// This gateway is about to pass on the first event of a stream, or still does so and repeats
    /// its origin. `is_usable`: whether a sidecar can be expected to receive a message.
    origin_actions on_began(const stream_key& key, const stream_origin& origin,
                            const std::function<bool(const origin_holder&)>& is_usable,
                            time_point now);

    /// A caller takes up a stream. The result comes with these actions or with later ones, under
    /// the given number.
    origin_actions look_up(std::uint64_t number, const stream_key& key, time_point now);

    /// The result of a lookup is no longer needed.
    void cancel(std::uint64_t number) { lookups_.erase(number); }

    /// Another gateway records an origin here.
    void on_record(const control::origin_record& record, time_point now);

    /// Another gateway asks for an origin.
    control::origin_answer on_question(const control::origin_question& question,
                                       time_point now) const;

    origin_actions on_answer(const control::origin_answer& answer, const cli::endpoint& from,
                             time_point now);

    /// Repeats unanswered questions.
    origin_actions on_tick(time_point now);

    /// Drops expired records.
    void drop_expired(time_point now) { store_.on_tick(now); }

    std::size_t size() const { return store_.size(); }

private:
    void ask(std::uint64_t number, const origin_lookup& lookup, origin_actions& actions) const;

    origin_holders holders_;
    origin_store store_;
    std::map<std::uint64_t, origin_lookup> lookups_;
};

} // namespace snipespar::resume
