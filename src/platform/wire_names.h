#pragma once

#include <string_view>

/// Names that the users' platform uses in its protocols.
namespace snipespar::platform::wire {

/// Environment variable with the path of the platform's own settings file, which is not read: the
/// deploy file passes the settings as flags.
inline constexpr std::string_view settings_file_variable = "SNIPESPAR_NODE_FILE";

// Kinds of objects in the store.
inline constexpr const char* config_kind = "config";
/// The only object of that kind that the operator writes.
inline constexpr std::string_view config_name = "main";
/// Entries of upstreams; the platform calls an upstream a server.
inline constexpr const char* upstream_kind = "servers";
/// Announced versions of adapters.
inline constexpr const char* version_kind = "versions";
/// Failure domains whose upstreams are to get nothing; an object's name is that of the domain.
inline constexpr const char* evacuation_kind = "evacuations";

inline constexpr std::string_view request_id = "Request-Id";
/// Milliseconds for which the sender waits for the response.
inline constexpr std::string_view time_left = "Deadline-Ms";
inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view authorization_scheme = "Token ";
inline constexpr std::string_view model = "Model";
/// Number of prompt tokens and maximum number of output tokens, separated by a comma.
inline constexpr std::string_view token_count = "Token-Count";
/// Parts of the prompt as ID:TOKENS pairs; the last one belongs to the request or its session.
inline constexpr std::string_view prompt_parts = "Prompt-Prefix";
inline constexpr std::string_view last_event = "Last-Event-Id";
/// Id of the request that brought the first event of the stream that the caller takes up.
inline constexpr std::string_view resumes = "Resumes";
/// Id of the only upstream that may run the request.
inline constexpr std::string_view expected_upstream = "Expect-Instance";
/// The team for which the request runs.
inline constexpr std::string_view team = "Tenant";
inline constexpr std::string_view urgency = "Request-Priority";
inline constexpr std::string_view not_run = "Not-Executed";
inline constexpr std::string_view seal = "Response-Seal";
inline constexpr std::string_view upstream_id = "Instance-Id";
/// `1` in every response of an upstream that is about to stop.
inline constexpr std::string_view leaving = "Server-Leaving";
/// Requests per second, as a decimal number, that an upstream takes from all senders together.
inline constexpr std::string_view rate_limit = "Server-Limit";
/// Calls that an upstream runs, calls that wait there, its slots and, on some hosts, how long work
/// takes there now as a percentage of the usual time, separated by commas.
inline constexpr std::string_view upstream_load = "Backend-Load";
/// Number of times that the store was restored from a copy.
inline constexpr std::string_view store_era = "Store-Era";

} // namespace snipespar::platform::wire
