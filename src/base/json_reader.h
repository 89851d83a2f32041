#pragma once

#include "base/json_text.h"

#include <absl/status/status.h>
#include <cstdint>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace snipespar {

/// Reads typed fields of a JSON value without exceptions. The first error is stored with its path
/// and a failed read returns a default, so that a decoder reads all fields and checks once.
class json_reader {
public:
    using json = nlohmann::json;

    /// Parses text of bounded depth; an error is stored in `status`.
    static json parse(std::string_view text, absl::Status& status)
    {
        auto value = parse_json(text);
        if (!value.ok() && status.ok()) {
            status = value.status();
        }
        return value.ok() ? *std::move(value) : json(json::value_t::discarded);
    }

    /// `status` must be OK at first and outlive the reader; it receives the first error.
    json_reader(const json& value, std::string path, absl::Status& status)
        : value_(value), path_(std::move(path)), status_(status)
    {
        if (!value_.is_object()) {
            fail(path_, "must be an object");
        }
    }

    const std::string& path() const { return path_; }

    std::string text(const char* name) const
    {
        const auto* field = find(name);
        if (field == nullptr || !field->is_string()) {
            fail(path_ + "." + name, "must be a string");
            return {};
        }
        return field->get<std::string>();
    }

    template <class Integer>
    Integer integer(const char* name) const
    {
        static_assert(std::is_unsigned_v<Integer>);
        const auto* field = find(name);
        if (field == nullptr || !field->is_number_unsigned() ||
            field->get<std::uint64_t>() > std::numeric_limits<Integer>::max()) {
            fail(path_ + "." + name, "must be an unsigned integer in range");
            return {};
        }
        return static_cast<Integer>(field->get<std::uint64_t>());
    }

    double real(const char* name) const
    {
        const auto* field = find(name);
        if (field == nullptr || !field->is_number()) {
            fail(path_ + "." + name, "must be a number");
            return {};
        }
        return field->get<double>();
    }

    bool flag(const char* name) const
    {
        const auto* field = find(name);
        if (field == nullptr || !field->is_boolean()) {
            fail(path_ + "." + name, "must be a boolean");
            return false;
        }
        return field->get<bool>();
    }

    bool has(const char* name) const { return find(name) != nullptr; }

    /// Calls `read(json_reader)` for each object of the array `name`; an absent array is empty.
    template <class Read>
    void each(const char* name, Read read) const
    {
        std::size_t position = 0;
        for (const auto& item : array(name)) {
            read(json_reader(item, fmt::format("{}.{}[{}]", path_, name, position), status_));
            ++position;
        }
    }

    /// Calls `read(name, value)` for each member of the object `name`; an absent object is empty.
    template <class Read>
    void each_member(const char* name, Read read) const
    {
        const auto* field = find(name);
        if (field == nullptr) {
            return;
        }
        if (!field->is_object()) {
            fail(path_ + "." + name, "must be an object");
            return;
        }
        for (const auto& [member, value] : field->items()) {
            read(member, value);
        }
    }

    /// The strings of the array `name`; an absent array is empty.
    std::vector<std::string> texts(const char* name) const
    {
        std::vector<std::string> list;
        for (const auto& item : array(name)) {
            if (!item.is_string()) {
                fail(path_ + "." + name, "must hold strings");
                return {};
            }
            list.push_back(item.get<std::string>());
        }
        return list;
    }

    /// Stores an error found by the caller, if it is the first.
    void fail(const std::string& path, std::string_view message) const
    {
        if (status_.ok()) {
            status_ = absl::InvalidArgumentError(fmt::format("{}: {}", path, message));
        }
    }

private:
    const json* find(const char* name) const
    {
        if (!value_.is_object()) {
            return nullptr;
        }
        const auto found = value_.find(name);
        return found == value_.end() ? nullptr : &*found;
    }

    const json& array(const char* name) const
    {
        static const json empty = json::array();
        const auto* field = find(name);
        if (field == nullptr) {
            return empty;
        }
        if (!field->is_array()) {
            fail(path_ + "." + name, "must be an array");
            return empty;
        }
        return *field;
    }

    const json& value_;
    std::string path_;
    absl::Status& status_;
};

} // namespace snipespar
