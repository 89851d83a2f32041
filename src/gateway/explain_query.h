#pragma once

#include "snipespar/finding.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace snipespar::gateway {

/// A request as an operator describes it, to be told where it would go.
struct explain_query {
    /// Path of the admin server that answers such queries.
    static constexpr std::string_view admin_path = "/explain";

    std::string host;
    /// Without a query of its own.
    std::string path;
    /// Empty if the request needs no model.
    std::string model;
    /// Empty for requests of the base model.
    std::string adapter;
    /// Empty if the team is not to be considered.
    std::string team;
    std::uint64_t prompt_tokens = 0;
    /// Tokens of the prompt that it shares with its session.
    std::uint64_t shared_tokens = 0;
    /// Those parts of the prompt as callers state them; empty if not known.
    std::string session;

    /// Path and query of the admin server.
    std::string target() const;

    /// Reads the part of a target after the question mark. Finds everything that is wrong with it,
    /// by the name of the parameter.
    static std::variant<explain_query, findings> parse(std::string_view text);

    friend bool operator==(const explain_query&, const explain_query&) = default;
};

} // namespace snipespar::gateway
