#include "config/document.h"

#include "config/placed_findings.h"
#include "config/references.h"
#include "config/yaml_fields.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <exception>
#include <fmt/core.h>
#include <map>
#include <optional>
#include <sstream>
#include <yaml-cpp/eventhandler.h>

namespace snipespar::config {

namespace {

constexpr std::size_t max_document_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t max_name_bytes = 128;
constexpr std::string_view reserved_prefix = "/v1/";

bool is_name(std::string_view text)
{
    const auto allowed = [](unsigned char byte) {
        return std::isalnum(byte) != 0 || byte == '.' || byte == '_' || byte == '-';
    };
    return !text.empty() && text.size() <= max_name_bytes && std::ranges::all_of(text, allowed);
}

bool is_ip_address(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

struct endpoint_text {
    std::string address;
    std::uint16_t port = 0;
};

// Parses `127.0.0.1:7101` or `[::1]:7101`.
std::optional<endpoint_text> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    std::uint32_t port = 0;
    constexpr std::uint32_t max_port = 65535;
    if (!is_ip_address(address) || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 ||
        port > max_port) {
        return std::nullopt;
    }
    return endpoint_text{address, static_cast<std::uint16_t>(port)};
}

// Builds the snapshot of one document and records the position of each of its entries.
class document_reader {
public:
    explicit document_reader(placed_findings& out) : out_(out) {}

    snapshot read(const YAML::Node& root);

private:
    using entry = yaml_fields::entry;

    // Calls `read_one(entry)` for each well-named entry of the mapping `name` below the root.
    template <class ReadOne>
    void read_each(yaml_fields& fields, const std::string& name, bool required, ReadOne read_one);

    void read_priority(const entry& item);
    void read_team(const entry& item);
    void read_adapter(const entry& item);
    void read_versions(adapter& result, yaml_fields& fields);
    void read_grants(adapter& result, yaml_fields& fields);
    void read_route(const entry& item);
    void read_upstream(const entry& item);
    void read_weight_store(const YAML::Node& node);
    void check_name(const entry& item, std::string_view what);
    void report_references();

    placed_findings& out_;
    snapshot result_;
    std::map<std::string, double> weights_;
    std::map<std::string, YAML::Mark> places_;
};

snapshot document_reader::read(const YAML::Node& root)
{
    yaml_fields fields(root, "the document", out_);
    result_.environment = fields.text("environment");
    if (!result_.environment.empty() && !is_name(result_.environment)) {
        out_.add(root["environment"].Mark(), "`environment` must be a name");
    }
    read_each(fields, "priority_levels", true, [&](const entry& e) { read_priority(e); });
    read_each(fields, "teams", true, [&](const entry& e) { read_team(e); });
    read_each(fields, "upstreams", true, [&](const entry& e) { read_upstream(e); });
    read_each(fields, "adapters", false, [&](const entry& e) { read_adapter(e); });
    read_each(fields, "routes", false, [&](const entry& e) { read_route(e); });
    if (const auto node = fields.take("weight_store", false)) {
        read_weight_store(*node);
    }
    fields.reject_unknown();
    report_references();
    return result_;
}

template <class ReadOne>
void document_reader::read_each(yaml_fields& fields, const std::string& name, bool required,
                                ReadOne read_one)
{
    const auto node = fields.take(name, required);
    if (!node) {
        return;
    }
    const yaml_fields items(*node, fmt::format("`{}`", name), out_);
    for (const auto& item : items.entries()) {
        check_name(item, name);
        places_.emplace(fmt::format("{}.{}", name, item.name), item.mark);
        read_one(item);
    }
}

void document_reader::check_name(const entry& item, std::string_view what)
{
    if (!is_name(item.name)) {
        out_.add(item.mark, fmt::format("a name in `{}` must consist of 1 to {} letters, digits, "
                                        "dots, underscores and hyphens",
                                        what, max_name_bytes));
    }
}

void document_reader::read_priority(const entry& item)
{
    constexpr double min_weight = 0.001;
    yaml_fields fields(item.value, fmt::format("priority level `{}`", item.name), out_);
    weights_[item.name] = fields.number<double>("weight", std::nullopt, min_weight);
    fields.reject_unknown();
}

void document_reader::read_team(const entry& item)
{
    yaml_fields fields(item.value, fmt::format("team `{}`", item.name), out_);
    team result;
    result.id = team_id(item.name);
    result.priority = fields.text("priority");
    const auto weight = weights_.find(result.priority);
    if (weight != weights_.end()) {
        result.weight = weight->second;
    }
    else if (!result.priority.empty()) {
        out_.add(item.value["priority"].Mark(),
                 fmt::format("there is no priority level `{}`", result.priority));
    }
    result.rate_tokens_per_s = fields.number<std::uint64_t>("rate_tokens_per_s", std::nullopt, 1);
    result.burst_tokens = fields.number<std::uint64_t>("burst_tokens", std::nullopt, 1);
    fields.reject_unknown();
    result_.teams.emplace(result.id, result);
}

void document_reader::read_adapter(const entry& item)
{
    yaml_fields fields(item.value, fmt::format("adapter `{}`", item.name), out_);
    adapter result;
    result.id = adapter_id(item.name);
    result.base_model = fields.text("base_model");
    read_versions(result, fields);
    read_grants(result, fields);
    fields.reject_unknown();
    result_.adapters.emplace(result.id, std::move(result));
}

void document_reader::read_versions(adapter& result, yaml_fields& fields)
{
    const auto node = fields.take("versions", true);
    if (!node) {
        return;
    }
    const yaml_fields items(*node, fmt::format("versions of `{}`", result.id.str()), out_);
    if (node->IsMap() && items.entries().empty()) {
        out_.add(node->Mark(), fmt::format("adapter `{}` needs a version", result.id.str()));
    }
    for (const auto& item : items.entries()) {
        check_name(item, "versions");
        if (!item.value.IsScalar() || item.value.Scalar().empty()) {
            out_.add(item.value.Mark(), "the source of a version must be a non-empty string");
            continue;
        }
        result.versions.push_back({item.name, item.value.Scalar()});
    }
}

void document_reader::read_grants(adapter& result, yaml_fields& fields)
{
    const auto node = fields.take("grants", true);
    if (!node) {
        return;
    }
    const yaml_fields items(*node, fmt::format("grants of `{}`", result.id.str()), out_);
    for (const auto& item : items.entries()) {
        yaml_fields grant_fields(item.value, fmt::format("grant of `{}`", item.name), out_);
        adapter_grant grant;
        grant.team = team_id(item.name);
        grant.default_version = grant_fields.text("default_version");
        for (const auto& version : grant_fields.texts("versions")) {
            grant.versions.push_back(version.name);
        }
        grant_fields.reject_unknown();
        places_.emplace(fmt::format("adapters.{}.grants.{}", result.id.str(), item.name),
                        item.mark);
        result.grants.push_back(std::move(grant));
    }
}

void document_reader::read_route(const entry& item)
{
    yaml_fields fields(item.value, fmt::format("route `{}`", item.name), out_);
    route result;
    result.id = route_id(item.name);
    result.path_prefix = fields.text("path_prefix");
    if (!result.path_prefix.empty() && result.path_prefix.front() != '/') {
        out_.add(item.value["path_prefix"].Mark(), "`path_prefix` must start with `/`");
    }
    if (result.path_prefix.starts_with(reserved_prefix)) {
        out_.add(item.value["path_prefix"].Mark(), "paths below `/v1/` are reserved for models");
    }
    result.service = fields.text("service");
    for (const auto& method : fields.texts("idempotent_methods")) {
        const auto upper = [](unsigned char byte) { return std::isupper(byte) != 0; };
        if (!std::ranges::all_of(method.name, upper)) {
            out_.add(method.mark, "an HTTP method must be in upper case");
        }
        result.idempotent_methods.push_back(method.name);
    }
    result.open_to_all = fields.flag("open_to_all", false);
    fields.reject_unknown();
    result_.routes.push_back(std::move(result));
}

void document_reader::read_upstream(const entry& item)
{
    yaml_fields fields(item.value, fmt::format("upstream `{}`", item.name), out_);
    upstream result;
    result.id = upstream_id(item.name);
    const auto kind = fields.text("kind");
    if (!kind.empty() && kind != "engine" && kind != "service") {
        out_.add(item.value["kind"].Mark(), "`kind` must be engine or service");
    }
    result.kind = kind == "service" ? upstream_kind::service : upstream_kind::engine;
    result.serves = fields.text("serves");
    result.host = host_id(fields.text("host"));
    result.failure_domain = failure_domain_id(fields.text("failure_domain"));
    const auto agent = fields.text("agent");
    if (const auto endpoint = parse_endpoint(agent)) {
        result.agent_address = endpoint->address;
        result.agent_port = endpoint->port;
    }
    else if (!agent.empty()) {
        out_.add(item.value["agent"].Mark(), "`agent` must be an IP address and port");
    }
    if (result.kind == upstream_kind::engine) {
        result.adapter_slots = fields.number<std::uint32_t>("adapter_slots", std::nullopt, 1);
        result.checks_fencing = fields.flag("checks_fencing", false);
    }
    result.max_running = fields.number<std::uint32_t>("max_running", 1, 1);
    fields.reject_unknown();
    result_.upstreams.emplace(result.id, std::move(result));
}

void document_reader::read_weight_store(const YAML::Node& node)
{
    constexpr double min_rate = 0.001;
    yaml_fields fields(node, "`weight_store`", out_);
    const weight_store_limits defaults;
    result_.weight_store.loads_per_s =
        fields.number<double>("loads_per_s", defaults.loads_per_s, min_rate);
    result_.weight_store.loads_at_once =
        fields.number<std::uint32_t>("loads_at_once", defaults.loads_at_once, 1);
    fields.reject_unknown();
}

void document_reader::report_references()
{
    for (auto& item : check_references(result_)) {
        const auto place = places_.find(item.place);
        if (place != places_.end()) {
            item.place = out_.place(place->second);
        }
        out_.add(std::move(item));
    }
}

// Counts the YAML documents of a text.
class document_counter : public YAML::EventHandler {
public:
    std::size_t documents() const { return documents_; }

    void OnDocumentStart(const YAML::Mark&) override { ++documents_; }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
    void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
    void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  const std::string&) override
    {
    }
    void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {
    }
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    {
    }
    void OnMapEnd() override {}

private:
    std::size_t documents_ = 0;
};

// Whether the text contains exactly one YAML document. The parser makes no progress on some texts,
// so at most two documents are requested.
bool is_single_document(const std::string& text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    document_counter counter;
    parser.HandleNextDocument(counter);
    parser.HandleNextDocument(counter);
    return counter.documents() == 1;
}

// The only YAML document of the text, or none after a finding.
std::optional<YAML::Node> load_yaml(const std::string& text, placed_findings& out)
{
    if (text.size() > max_document_bytes) {
        out.add(YAML::Mark(), fmt::format("is larger than {} bytes", max_document_bytes));
        return std::nullopt;
    }
    try {
        if (is_single_document(text)) {
            return YAML::Load(text);
        }
        out.add(YAML::Mark(), "must contain exactly one YAML document");
    }
    catch (const YAML::Exception& error) {
        out.add(error.mark, error.msg);
    }
    catch (const std::exception& error) {
        out.add(YAML::Mark(), error.what());
    }
    return std::nullopt;
}

} // namespace

std::variant<document, findings> document::parse(std::string_view text, std::string_view file)
{
    placed_findings out(file);
    const auto root = load_yaml(std::string(text), out);
    if (!root) {
        return out.list();
    }
    snapshot content;
    try {
        content = document_reader(out).read(*root);
    }
    catch (const YAML::Exception& error) {
        out.add(error.mark, error.msg);
    }
    if (!out.list().empty()) {
        return out.list();
    }
    return document(std::move(content));
}

} // namespace snipespar::config
