// A model worker of the users' pages (PROTOCOL, "Requests" and "Model placement"): reports, orders,
// and streams of one event for each five tokens that are asked for.
//
// usage: engine IP:PORT ID placed|empty SLOTS [keep=NUMBER] [second=COUNT]
//
// With `placed` it holds the base model from its start, else nothing. The first order to load an
// adapter that comes with `expect` NUMBER gets no answer; it is written to the output, to be
// carried out later. With `second`, COUNT answers to reports, not more than one in 200, are sent a
// second time, late: where the answer to the next call is expected, which is an order to unload an
// adapter that still has runs.
// It ends if it is ordered to hold more adapters than it has slots.

#include "net.hh"

#include <algorithm>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace {

using nlohmann::json;

constexpr std::int64_t model_load_ms = 760;
constexpr std::int64_t adapter_load_ms = 250;
constexpr std::size_t most_in_transit = 4;
constexpr auto event_pause = std::chrono::milliseconds(100);
constexpr long tokens_of_event = 5;
constexpr long reports_of_second = 200;

struct engine {
    std::string id;
    std::size_t slots = 0;
    long keep = -1;
    int seconds_left = 0;
    long reports = 0;
    long next_second = 0;
    std::int64_t born = peer::now_ms();

    std::mutex mutex;
    long seq = 0;
    std::set<std::string> models;
    std::int64_t busy_until = 0;
    std::string loading_model;
    std::set<std::string> adapters;
    std::map<std::string, std::int64_t> coming;
    /// Unloads that wait for the last run.
    std::set<std::string> leaving;
    std::map<std::string, int> runs;

    void settle()
    {
        const auto now = peer::now_ms();
        if (!loading_model.empty() && now >= busy_until) {
            models.insert(loading_model);
            loading_model.clear();
        }
        std::erase_if(coming, [&](const auto& item) {
            if (now >= item.second) {
                adapters.insert(item.first);
            }
            return now >= item.second;
        });
        std::erase_if(leaving, [&](const auto& name) {
            const bool is_unused = runs[name] == 0;
            if (is_unused) {
                adapters.erase(name);
            }
            return is_unused;
        });
    }
};

engine self;

void say(const std::string& text)
{
    std::printf("%lld %s\n", static_cast<long long>(peer::now_ms()), text.c_str());
    std::fflush(stdout);
}

std::string report()
{
    const std::lock_guard lock(self.mutex);
    self.settle();
    ++self.reports;
    json models = json::array();
    for (const auto& model : self.models) {
        json adapters = json::array();
        for (const auto& name : self.adapters) {
            adapters.push_back(name.substr(name.find('/') + 1) + "@1");
        }
        models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    }
    json coming = json::array();
    for (const auto& item : self.coming) {
        coming.push_back(item.first + "@1");
    }
    int running = 0;
    for (const auto& item : self.runs) {
        running += item.second;
    }
    return json{{"stage", "both"},  {"models", models},  {"busy", !self.loading_model.empty()},
                {"seq", self.seq},  {"waiting", 0},      {"running", running},
                {"kv_used", 0},     {"kv_total", 90000}, {"handles", 0},
                {"coming", coming}, {"born", self.born}}
        .dump();
}

// Returns the status, or 0 for an order that gets no answer.
int order(const peer::request& message)
{
    const std::lock_guard lock(self.mutex);
    self.settle();
    const auto expected = peer::field(message.head, "Expect-Instance");
    if (!expected.empty() && expected != self.id) {
        return 421;
    }
    const auto body = json::parse(message.body, nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("fence")) {
        return 400;
    }
    const auto adapter = body.value("adapter", std::string());
    const auto model = body.value("model", std::string());
    const auto name = model + "/" + adapter;
    const bool is_load = body.value("operation", std::string()) == "load";
    const auto expect = body.value("expect", -1L);
    if (is_load && !adapter.empty() && expect == self.keep && expect == self.seq) {
        self.keep = -1;
        say("unanswered " + expected + " " + message.body);
        return 0;
    }
    if ((body.contains("expect") && expect != self.seq) || !self.loading_model.empty()) {
        return 409;
    }
    if (adapter.empty()) {
        if (!is_load || self.models.contains(model)) {
            return is_load ? 200 : 400;
        }
        ++self.seq;
        self.loading_model = model;
        self.busy_until = peer::now_ms() + model_load_ms;
        return 202;
    }
    if (!self.models.contains(model)) {
        return 400;
    }
    if (!is_load) {
        if (!self.adapters.contains(name)) {
            return 200;
        }
        ++self.seq;
        if (self.runs[name] > 0) {
            self.leaving.insert(name);
            return 202;
        }
        self.adapters.erase(name);
        return 200;
    }
    if (self.adapters.contains(name) || self.coming.contains(name)) {
        return 200;
    }
    if (self.coming.size() >= most_in_transit) {
        return 409;
    }
    ++self.seq;
    if (self.adapters.size() + self.coming.size() >= self.slots) {
        say("OVERFULL: ordered to load " + name + " with " +
            std::to_string(self.adapters.size() + self.coming.size()) + " of " +
            std::to_string(self.slots) + " slots taken, expect " + std::to_string(expect) +
            "; crashes");
        std::_Exit(1);
    }
    self.coming[name] = peer::now_ms() + adapter_load_ms;
    return 202;
}

// Serves a stream until its caller leaves; returns whether the connection can go on.
bool stream(int fd, const peer::request& message)
{
    const auto id = peer::field(message.head, "Request-Id");
    const auto fields = "Request-Id: " + id + "\r\n";
    const auto expected = peer::field(message.head, "Expect-Instance");
    if (!expected.empty() && expected != self.id) {
        return peer::send_all(
            fd, peer::sized_answer(421, fields + "Instance-Id: " + self.id + "\r\n", ""));
    }
    const auto name = peer::field(message.head, "Model");
    {
        const std::lock_guard lock(self.mutex);
        self.settle();
        const bool is_resident = self.adapters.contains(name);
        if (!is_resident || self.leaving.contains(name)) {
            return peer::send_all(fd, peer::sized_answer(is_resident ? 503 : 421,
                                                         fields + "Not-Executed: 1\r\n", ""));
        }
        ++self.runs[name];
    }
    say("run " + id + " on " + name);
    bool is_open = peer::send_all(fd, "HTTP/1.1 200 OK\r\n" + fields + "Response-Seal: seal." + id +
                                          "\r\nContent-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\n\r\n");
    const auto tokens = peer::field(message.head, "Token-Count");
    const auto events = std::atol(tokens.c_str() + tokens.find(',') + 1) / tokens_of_event;
    auto number = std::atol(peer::field(message.head, "Last-Event-Id").c_str());
    while (is_open && number < events) {
        const auto event = "id: " + std::to_string(++number) + "\ndata: x\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        is_open = peer::send_all(fd, size + event + "\r\n");
        std::this_thread::sleep_for(event_pause);
        char byte = 0;
        is_open = is_open && ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    }
    {
        const std::lock_guard lock(self.mutex);
        --self.runs[name];
    }
    return is_open && peer::send_all(fd, "0\r\n\r\n");
}

// Whether the last answer is to be sent once more before that to this order.
bool is_second_due(const peer::request& message)
{
    const std::lock_guard lock(self.mutex);
    self.settle();
    const auto body = json::parse(message.body, nullptr, false);
    if (self.seconds_left == 0 || self.reports < self.next_second ||
        body.value("operation", std::string()) != "unload") {
        return false;
    }
    const auto name =
        body.value("model", std::string()) + "/" + body.value("adapter", std::string());
    const auto taken = self.adapters.size() + self.coming.size();
    if (self.runs[name] == 0 || taken < self.slots || body.value("expect", -1L) != self.seq) {
        return false;
    }
    --self.seconds_left;
    self.next_second = self.reports + reports_of_second;
    say("second answer to the last report sent where that to the order is due: " + message.body);
    return true;
}

void serve(int fd)
{
    std::string input;
    std::string last_report;
    bool is_open = true;
    while (is_open) {
        const auto message = peer::read_request(fd, input);
        if (!message) {
            break;
        }
        if (message->target == "/report") {
            last_report = peer::sized_answer(200, "Content-Type: application/json\r\n", report());
            is_open = peer::send_all(fd, last_report);
        }
        else if (message->target == "/order") {
            if (!last_report.empty() && is_second_due(*message)) {
                peer::send_all(fd, last_report);
            }
            const auto status = order(*message);
            if (status != 0) {
                say("order " + std::to_string(status) + " " + message->body);
                is_open = peer::send_all(
                    fd, peer::sized_answer(status, "Content-Type: application/json\r\n", ""));
            }
        }
        else {
            is_open = stream(fd, *message);
        }
    }
    ::close(fd);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5) {
        return 2;
    }
    self.id = argv[2];
    self.slots = std::stoul(argv[4]);
    if (std::string(argv[3]) == "placed") {
        self.models.insert("base");
    }
    for (int i = 5; i < argc; ++i) {
        const std::string option = argv[i];
        if (option.starts_with("second=")) {
            self.seconds_left = std::stoi(option.substr(7));
        }
        if (option.starts_with("keep=")) {
            self.keep = std::stol(option.substr(5));
        }
    }
    const int listener = peer::listen_on(argv[1]);
    say("listening, born " + std::to_string(self.born));
    while (true) {
        const int fd = ::accept(listener, nullptr, nullptr);
        if (fd >= 0) {
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread(serve, fd).detach();
        }
    }
}
