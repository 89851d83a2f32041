#include "link/frame_codec.h"

#include "base/cbor.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace snipespar::link {

namespace {

using nlohmann::json;

// Visits the fields of each frame in wire order; the same list serves writing and reading.
template <class Archive>
void visit_fields(Archive& io, header_field& f)
{
    io(f.name, f.value);
}

template <class Archive>
void visit_fields(Archive& io, incarnation& f)
{
    io(f.host, f.start);
}

template <class Archive>
void visit_fields(Archive& io, adapter_ref& f)
{
    io(f.adapter, f.version);
}

template <class Archive>
void visit_fields(Archive& io, challenge& f)
{
    io(f.protocol, f.nonce);
}

template <class Archive>
void visit_fields(Archive& io, credentials& f)
{
    io(f.protocol, f.sender_role, f.sender, f.nonce, f.proof);
}

template <class Archive>
void visit_fields(Archive& io, welcome& f)
{
    io(f.sender_role, f.sender, f.proof);
}

template <class Archive>
void visit_fields(Archive& io, heartbeat& f)
{
    io(f.sequence, f.config_version);
}

template <class Archive>
void visit_fields(Archive& io, heartbeat_ack& f)
{
    io(f.sequence, f.config_version);
}

template <class Archive>
void visit_fields(Archive& io, run_request& f)
{
    io(f.stream, f.request_id, f.attempt, f.team, f.key, f.adapter, f.method, f.path, f.headers,
       f.body, f.prompt_tokens, f.max_tokens, f.resume_from, f.deadline_ms, f.window_bytes,
       f.idempotent, f.exclusive, f.fingerprint, f.traceparent, f.adapter_source,
       f.team_weight_milli, f.config_version, f.software);
}

template <class Archive>
void visit_fields(Archive& io, cancel& f)
{
    io(f.stream);
}

template <class Archive>
void visit_fields(Archive& io, window& f)
{
    io(f.stream, f.bytes);
}

template <class Archive>
void visit_fields(Archive& io, accepted& f)
{
    io(f.stream);
}

template <class Archive>
void visit_fields(Archive& io, started& f)
{
    io(f.stream, f.software);
}

template <class Archive>
void visit_fields(Archive& io, refused& f)
{
    io(f.stream, f.reason, f.retry_after_ms);
}

template <class Archive>
void visit_fields(Archive& io, response_head& f)
{
    io(f.stream, f.status, f.headers);
}

template <class Archive>
void visit_fields(Archive& io, token& f)
{
    io(f.stream, f.index, f.count, f.text);
}

template <class Archive>
void visit_fields(Archive& io, body_chunk& f)
{
    io(f.stream, f.offset, f.bytes);
}

template <class Archive>
void visit_fields(Archive& io, done& f)
{
    io(f.stream, f.total, f.prompt_tokens, f.finish_reason, f.served_model);
}

template <class Archive>
void visit_fields(Archive& io, failed& f)
{
    io(f.stream, f.state, f.reason, f.retry_after_ms);
}

template <class Archive>
void visit_fields(Archive& io, upstream_report& f)
{
    io(f.ready, f.leaving, f.running, f.queued, f.queue_delay_ms, f.resident, f.software);
}

template <class Archive>
void visit_fields(Archive& io, peer_message& f)
{
    io(f.topic, f.payload);
}

// Appends fields to a JSON array. Strings are encoded as byte strings, since bodies and nonces need
// not be valid UTF-8.
class field_writer {
public:
    explicit field_writer(json& out) : out_(out) {}

    template <class... Fields>
    void operator()(Fields&... fields)
    {
        (write(fields), ...);
    }

private:
    template <class Field>
    void write(Field& field)
    {
        if constexpr (std::is_same_v<Field, bool> || std::is_integral_v<Field>) {
            out_.push_back(field);
        }
        else if constexpr (std::is_enum_v<Field>) {
            out_.push_back(static_cast<std::uint64_t>(field));
        }
        else {
            write_compound(field);
        }
    }

    void write_compound(std::string& text)
    {
        out_.push_back(json::binary({text.begin(), text.end()}));
    }

    template <class Tag>
    void write_compound(strong_string<Tag>& name)
    {
        std::string text = name.str();
        write_compound(text);
    }

    template <class Item>
    void write_compound(std::vector<Item>& items)
    {
        json list = json::array();
        field_writer writer(list);
        for (auto& item : items) {
            writer(item);
        }
        out_.push_back(std::move(list));
    }

    template <class Struct>
    void write_compound(Struct& value)
    {
        json list = json::array();
        field_writer writer(list);
        visit_fields(writer, value);
        out_.push_back(std::move(list));
    }

    json& out_;
};

// Reads fields from a JSON array in order; after the first error all reads fail.
class field_reader {
public:
    field_reader(const json& in, std::size_t start) : in_(in), next_(start) {}

    template <class... Fields>
    void operator()(Fields&... fields)
    {
        (read(fields), ...);
    }

    bool ok() const { return ok_; }
    std::size_t position() const { return next_; }

private:
    template <class Field>
    void read(Field& field)
    {
        if (!ok_ || next_ >= in_.size()) {
            ok_ = false;
            return;
        }
        ok_ = convert(in_[next_], field);
        next_ += ok_ ? 1 : 0;
    }

    static bool convert(const json& value, bool& field)
    {
        const auto* flag = value.get_ptr<const json::boolean_t*>();
        if (flag == nullptr) {
            return false;
        }
        field = *flag;
        return true;
    }

    static bool convert(const json& value, std::string& field)
    {
        const auto* bytes = value.get_ptr<const json::binary_t*>();
        if (bytes == nullptr) {
            return false;
        }
        field.assign(bytes->begin(), bytes->end());
        return true;
    }

    template <class Tag>
    static bool convert(const json& value, strong_string<Tag>& field)
    {
        std::string text;
        if (!convert(value, text)) {
            return false;
        }
        field = strong_string<Tag>(std::move(text));
        return true;
    }

    template <class Item>
    static bool convert(const json& value, std::vector<Item>& field)
    {
        if (!value.is_array()) {
            return false;
        }
        field.resize(value.size());
        field_reader reader(value, 0);
        for (auto& item : field) {
            reader(item);
        }
        return reader.ok();
    }

    static bool convert(const json& value, role& field)
    {
        std::uint32_t code = 0;
        if (!convert(value, code) || code < 1 || code > 2) {
            return false;
        }
        field = static_cast<role>(code);
        return true;
    }

    static bool convert(const json& value, run_state& field)
    {
        std::uint32_t code = 0;
        if (!convert(value, code) || code > static_cast<std::uint32_t>(run_state::unknown)) {
            return false;
        }
        field = static_cast<run_state>(code);
        return true;
    }

    template <class Field>
    static bool convert(const json& value, Field& field)
    {
        if constexpr (std::is_integral_v<Field>) {
            const auto* number = value.get_ptr<const json::number_unsigned_t*>();
            if (number == nullptr || !std::in_range<Field>(*number)) {
                return false;
            }
            field = static_cast<Field>(*number);
            return true;
        }
        else {
            if (!value.is_array()) {
                return false;
            }
            field_reader reader(value, 0);
            visit_fields(reader, field);
            return reader.ok();
        }
    }

    const json& in_;
    std::size_t next_;
    bool ok_ = true;
};

template <std::size_t Index>
absl::StatusOr<frame> decode_alternative(const json& fields)
{
    std::variant_alternative_t<Index, frame> value;
    field_reader reader(fields, 1);
    visit_fields(reader, value);
    if (!reader.ok()) {
        return absl::InvalidArgumentError(
            absl::StrCat("frame type ", Index, ": bad field ", reader.position()));
    }
    return frame(std::move(value));
}

using alternative_decoder = absl::StatusOr<frame> (*)(const json&);

template <std::size_t... Indexes>
constexpr auto make_decoders(std::index_sequence<Indexes...> /*indexes*/)
{
    return std::array<alternative_decoder, sizeof...(Indexes)>{&decode_alternative<Indexes>...};
}

constexpr auto decoders = make_decoders(std::make_index_sequence<std::variant_size_v<frame>>{});

} // namespace

std::string encode(const frame& message)
{
    json fields = json::array({message.index()});
    field_writer writer(fields);
    frame copy = message;
    std::visit([&](auto& value) { visit_fields(writer, value); }, copy);
    return to_cbor(fields);
}

absl::StatusOr<frame> decode(std::string_view bytes)
{
    const auto fields = from_cbor(bytes);
    if (!fields.ok()) {
        return fields.status();
    }
    if (!fields->is_array() || fields->empty() || !fields->front().is_number_unsigned()) {
        return absl::InvalidArgumentError("frame: not an array with a type code");
    }
    const auto code = fields->front().get<std::uint64_t>();
    if (code >= decoders.size()) {
        return absl::InvalidArgumentError(absl::StrCat("frame: unknown type ", code));
    }
    return decoders.at(code)(*fields);
}

} // namespace snipespar::link
