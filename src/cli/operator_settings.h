#pragma once

#include "cli/endpoint.h"
#include "gateway/explain_query.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace snipespar::cli {

/// How an operator command reaches the platform.
struct platform_access {
    endpoint platform;
    duration timeout{};

    friend bool operator==(const platform_access&, const platform_access&) = default;
};

/// `check FILE`: validates a document without writing anything.
struct check_command {
    std::string file;
    std::string environment;

    friend bool operator==(const check_command&, const check_command&) = default;
};

/// `apply FILE`: validates a document and makes it the environment's next version.
struct apply_command {
    platform_access access;
    std::string file;
    std::string environment;

    friend bool operator==(const apply_command&, const apply_command&) = default;
};

/// `promote`: applies the accepted document of one environment to another.
struct promote_command {
    platform_access access;
    std::string from;
    std::string to;

    friend bool operator==(const promote_command&, const promote_command&) = default;
};

/// `status`: prints the accepted version and what the fleet reports.
struct status_command {
    platform_access access;
    std::string environment;

    friend bool operator==(const status_command&, const status_command&) = default;
};

/// `key issue TEAM`: creates a key and prints it once.
struct key_issue_command {
    platform_access access;
    std::string environment;
    team_id team;

    friend bool operator==(const key_issue_command&, const key_issue_command&) = default;
};

/// `key withdraw KEY`: makes a key invalid.
struct key_withdraw_command {
    platform_access access;
    std::string environment;
    key_id key;

    friend bool operator==(const key_withdraw_command&, const key_withdraw_command&) = default;
};

/// `key list`: prints the public ids of all keys with their teams.
struct key_list_command {
    platform_access access;
    std::string environment;

    friend bool operator==(const key_list_command&, const key_list_command&) = default;
};

/// `explain`: prints where a gateway would send a request now, and why.
struct explain_command {
    /// The form in which the answer is printed.
    enum class form : std::uint8_t { table, json };

    /// Admin address of the gateway.
    endpoint gateway;
    duration timeout{};
    gateway::explain_query query;
    form output = form::table;

    friend bool operator==(const explain_command&, const explain_command&) = default;
};

/// One operator command with its validated settings.
using operator_settings =
    std::variant<check_command, apply_command, promote_command, status_command, key_issue_command,
                 key_withdraw_command, key_list_command, explain_command>;

} // namespace snipespar::cli
