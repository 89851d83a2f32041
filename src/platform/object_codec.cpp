#include "platform/object_codec.h"

#include "base/json_text.h"
#include "base/text_view.h"
#include "base/utf8.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace snipespar::platform {

namespace {

// The store keeps no larger ones.
constexpr std::size_t max_object_bytes = 2UL * 1024 * 1024;
constexpr std::size_t max_name_bytes = 253;
// Unreadable objects of a page that are told of.
constexpr std::size_t max_unreadable = 32;

using members = std::vector<std::pair<std::string_view, std::string_view>>;

// The raw text of a member; empty if it is absent.
std::string_view member(const members& object, std::string_view name)
{
    const auto found =
        std::ranges::find_if(object, [&](const auto& item) { return item.first == name; });
    return found == object.end() ? std::string_view() : found->second;
}

// The name as the store states it, which need not be fit for use.
absl::StatusOr<std::string> read_name(const members& object)
{
    const auto metadata = split_json_object(member(object, "metadata"));
    if (!metadata.ok()) {
        return metadata.status();
    }
    return json_string_bytes(member(*metadata, "name"));
}

// Whether an object of any kind may have this name, which goes into messages and logs.
bool is_fit(std::string_view name)
{
    const bool is_printable = std::ranges::none_of(name, [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code <= ' ' || code == 0x7f;
    });
    return !name.empty() && name.size() <= max_name_bytes && is_printable && is_utf8(name);
}

// The beginning of a name as it can be logged; empty if it is not UTF-8.
std::string shown(std::string_view name)
{
    if (!is_utf8(name)) {
        return {};
    }
    name = name.substr(0, max_name_bytes);
    while (!is_utf8(name)) {
        name.remove_suffix(1);
    }
    return std::string(name);
}

void add_unreadable(object_page& page, std::string name, std::string_view reason)
{
    if (page.unreadable.size() < max_unreadable) {
        page.unreadable.push_back({std::move(name), std::string(reason)});
    }
}

// Adds the object to the page, to its unreadable ones or, if only its name is readable, to both.
void read_object(std::string_view text, bool is_removed, content_form form, object_page& page)
{
    const auto object = split_json_object(text);
    if (!object.ok()) {
        add_unreadable(page, {}, to_std(object.status().message()));
        return;
    }
    const auto name = read_name(*object);
    if (!name.ok()) {
        add_unreadable(page, {}, "no readable name");
        return;
    }
    page.names.push_back(*name);
    if (!is_fit(*name)) {
        add_unreadable(page, shown(*name), "the name is not fit for use");
        return;
    }
    if (text.size() > max_object_bytes) {
        add_unreadable(page, *name, "too large");
        return;
    }
    watched_object result;
    result.name = *name;
    result.is_removed = is_removed;
    if (!is_removed && form == content_form::text) {
        result.text = std::string(member(*object, "spec"));
    }
    else if (!is_removed) {
        auto content = parse_json(member(*object, "spec"));
        if (content.ok()) {
            result.content = *std::move(content);
        }
        else {
            add_unreadable(page, *name, to_std(content.status().message()));
        }
    }
    page.objects.push_back(std::move(result));
}

void read_event(std::string_view text, content_form form, object_page& page)
{
    const auto event = split_json_object(text);
    if (!event.ok()) {
        add_unreadable(page, {}, to_std(event.status().message()));
        return;
    }
    read_object(member(*event, "object"), member(*event, "removed") == "true", form, page);
}

} // namespace

absl::StatusOr<object_page> decode_object_page(std::string_view text, content_form form)
{
    const auto response = split_json_object(text);
    if (!response.ok()) {
        return response.status();
    }
    const auto revision = parse_json(member(*response, "current_rev"));
    if (!revision.ok() || !revision->is_number_unsigned()) {
        return absl::InvalidArgumentError("current_rev: must be an unsigned integer");
    }
    object_page page;
    page.revision = revision->get<std::uint64_t>();
    page.has_more = member(*response, "has_more") == "true";
    for (const std::string_view name : {"items", "events"}) {
        const auto list = member(*response, name);
        if (list.empty()) {
            continue;
        }
        const auto elements = split_json_array(list);
        if (!elements.ok()) {
            return elements.status();
        }
        for (const auto element : *elements) {
            if (name == "items") {
                read_object(element, false, form, page);
            }
            else {
                read_event(element, form, page);
            }
        }
    }
    return page;
}

} // namespace snipespar::platform
