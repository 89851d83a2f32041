#include "base/cbor.h"

#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>

namespace snipespar {

namespace {

using nlohmann::json;

constexpr int max_depth = 32;

// Inputs below this size cannot nest deeply enough to exhaust the decoder's stack.
constexpr std::size_t max_unchecked_bytes = 2048;

// SAX handler that accepts all events while the nesting stays below max_depth.
class depth_checker : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(std::int64_t /*value*/) override { return true; }
    bool number_unsigned(std::uint64_t /*value*/) override { return true; }
    bool number_float(double /*value*/, const std::string& /*text*/) override { return true; }
    bool string(std::string& /*value*/) override { return true; }
    bool binary(json::binary_t& /*value*/) override { return true; }
    bool key(std::string& /*name*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return ++depth_ < max_depth; }
    bool start_array(std::size_t /*size*/) override { return ++depth_ < max_depth; }

    bool end_object() override
    {
        --depth_;
        return true;
    }

    bool end_array() override
    {
        --depth_;
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override
    {
        return false;
    }

private:
    int depth_ = 0;
};

bool is_shallow(std::string_view bytes)
{
    if (bytes.size() <= max_unchecked_bytes) {
        return true;
    }
    depth_checker checker;
    return json::sax_parse(bytes.begin(), bytes.end(), &checker, json::input_format_t::cbor);
}

} // namespace

std::string to_cbor(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

absl::StatusOr<json> from_cbor(std::string_view bytes)
{
    if (!is_shallow(bytes)) {
        return absl::InvalidArgumentError("CBOR: malformed or nested too deeply");
    }
    constexpr bool strict = true;
    constexpr bool allow_exceptions = false;
    try {
        json value = json::from_cbor(bytes.begin(), bytes.end(), strict, allow_exceptions);
        if (!value.is_discarded()) {
            return value;
        }
    }
    catch (const json::exception&) {
        // Thrown despite the flag when a container declares more members than fit in memory.
    }
    return absl::InvalidArgumentError("CBOR: malformed");
}

} // namespace snipespar
