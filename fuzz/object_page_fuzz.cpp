// Feeds arbitrary text to the decoder of the store's pages, and the content of each object to its
// decoders. A page with the input between two sound objects still gives the sound ones, and the
// same objects between them as without them.

#include "base/json_text.h"
#include "base/utf8.h"
#include "fuzz_input.h"
#include "platform/adapter_version_codec.h"
#include "platform/config_reader.h"
#include "platform/object_codec.h"
#include "platform/upstream_entry_codec.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace {

namespace fuzz = snipespar::fuzz;
namespace platform = snipespar::platform;

constexpr std::string_view first_object = R"({"metadata":{"name":"first"},"spec":{"slots":1}})";
constexpr std::string_view last_object = R"({"metadata":{"name":"last"},"spec":{"slots":2}})";

std::string page_text(std::string_view list, std::string_view elements)
{
    std::string text = R"({")";
    text.append(list).append(R"(":[)").append(elements).append(R"(],"current_rev":1})");
    return text;
}

std::string element(std::string_view list, std::string_view object)
{
    std::string text(object);
    return list == "items" ? text : R"({"object":)" + text + "}";
}

void decode_contents(const platform::object_page& page)
{
    for (const auto& object : page.objects) {
        fuzz::require(!object.name.empty() && snipespar::is_utf8(object.name));
        fuzz::require(!object.is_removed || (object.content.is_null() && object.text.empty()));
        const auto entry = platform::decode_upstream_entry(object.name, object.content);
        fuzz::require(!entry.ok() || entry->slots >= 0);
        const auto config = platform::decode_config(object.text);
        fuzz::require(!config.ok() || *config != nullptr);
        const auto version = platform::decode_adapter_version(object.content);
        fuzz::require(!version.ok() || snipespar::is_utf8(version->adapter));
    }
}

void check_between_sound_objects(std::string_view list, std::string_view elements)
{
    const auto alone = platform::decode_object_page(page_text(list, elements));
    fuzz::require(alone.ok());
    decode_contents(*alone);
    const auto as_text =
        platform::decode_object_page(page_text(list, elements), platform::content_form::text);
    fuzz::require(as_text.ok());
    decode_contents(*as_text);
    std::string text = element(list, first_object);
    text.append(",").append(elements).append(",").append(element(list, last_object));
    const auto page = platform::decode_object_page(page_text(list, text));
    fuzz::require(page.ok());
    fuzz::require(page->objects.size() == alone->objects.size() + 2);
    fuzz::require(page->unreadable.size() == alone->unreadable.size());
    fuzz::require(page->names.size() == alone->names.size() + 2);
    fuzz::require(page->names.front() == "first" && page->names.back() == "last");
    fuzz::require(page->objects.front().name == "first" &&
                  page->objects.front().content["slots"] == 1);
    fuzz::require(page->objects.back().name == "last" &&
                  page->objects.back().content["slots"] == 2);
    for (std::size_t i = 0; i < alone->objects.size(); ++i) {
        fuzz::require(page->objects[i + 1].name == alone->objects[i].name &&
                      page->objects[i + 1].is_removed == alone->objects[i].is_removed);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto input = fuzz::to_text(data, size);
    if (const auto page = platform::decode_object_page(input); page.ok()) {
        decode_contents(*page);
    }
    // Input that closes the array itself, or leaves it empty, does not stay between the objects.
    std::string array = "[";
    array.append(input).append("]");
    const auto elements = snipespar::split_json_array(array);
    if (elements.ok() && !elements->empty()) {
        check_between_sound_objects("items", input);
        check_between_sound_objects("events", input);
    }
    return 0;
}
