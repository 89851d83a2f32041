#include "resume/origin_directory.h"

#include <utility>

namespace snipespar::resume {

namespace {

// Bounds what callers with invented names can make a gateway ask.
constexpr std::size_t max_lookups = 2048;

} // namespace

origin_actions
origin_directory::on_began(const stream_key& key, const stream_origin& origin,
                           const std::function<bool(const origin_holder&)>& is_usable,
                           time_point now)
{
    store_.put(key, origin, now);
    origin_actions actions;
    for (const auto& holder : holders_.to_tell(key, is_usable)) {
        actions.messages.push_back({holder, control::origin_record{key, origin}});
    }
    return actions;
}

origin_actions origin_directory::look_up(std::uint64_t number, const stream_key& key,
                                         time_point now)
{
    origin_actions actions;
    const auto own = store_.find(key, now);
    const auto asked = own ? std::vector<cli::endpoint>() : holders_.to_ask(key);
    if (asked.empty() || lookups_.size() >= max_lookups) {
        actions.results.push_back({number, own});
        return actions;
    }
    const auto item = lookups_.insert_or_assign(number, origin_lookup(key, asked, now)).first;
    ask(number, item->second, actions);
    return actions;
}

void origin_directory::on_record(const control::origin_record& record, time_point now)
{
    store_.put(record.key, record.origin, now);
}

control::origin_answer origin_directory::on_question(const control::origin_question& question,
                                                     time_point now) const
{
    return {question.number, question.key, store_.find(question.key, now)};
}

origin_actions origin_directory::on_answer(const control::origin_answer& answer,
                                           const cli::endpoint& from, time_point now)
{
    origin_actions actions;
    const auto found = lookups_.find(answer.number);
    if (found == lookups_.end() || found->second.key() != answer.key) {
        return actions;
    }
    if (answer.origin) {
        store_.put(found->second.key(), *answer.origin, now);
    }
    if (answer.origin || found->second.on_unknown(from) == origin_lookup::step::give_up) {
        actions.results.push_back({answer.number, answer.origin});
        lookups_.erase(found);
    }
    return actions;
}

origin_actions origin_directory::on_tick(time_point now)
{
    origin_actions actions;
    for (auto item = lookups_.begin(); item != lookups_.end();) {
        const auto next = item->second.on_tick(now);
        if (next == origin_lookup::step::give_up) {
            actions.results.push_back({item->first, std::nullopt});
            item = lookups_.erase(item);
            continue;
        }
        if (next == origin_lookup::step::ask) {
            ask(item->first, item->second, actions);
        }
        ++item;
    }
    return actions;
}

void origin_directory::ask(std::uint64_t number, const origin_lookup& lookup,
                           origin_actions& actions) const
{
    for (const auto& holder : lookup.unanswered()) {
        actions.messages.push_back({holder, control::origin_question{number, lookup.key()}});
    }
}

} // namespace snipespar::resume
