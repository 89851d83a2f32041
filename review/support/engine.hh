// A model worker as the pages describe it: report, orders, adapters that take time to load,
// streams.
#pragma once

#include "lab.hh"

#include <set>

namespace lab {

class engine {
public:
    static constexpr int load_ms = 250;
    static constexpr std::size_t adapter_slots = 16;
    static constexpr int events = 5;
    static constexpr int event_ms = 20;

    engine(const address& listen, std::string id, record& log)
        : id_(std::move(id)), born_(unix_ms()), log_(log),
          server_(listen, [this](int fd, const message& got) { return handle(fd, got); })
    {
    }

    long born() const { return born_; }

private:
    bool handle(int fd, const message& got)
    {
        const auto path = got.word(1);
        if (path == "/report") {
            return write_all(fd, http_answer(200, "Content-Type: application/json\r\n", report()));
        }
        if (path == "/order") {
            return write_all(fd, http_answer(order(got), "", "{}"));
        }
        const auto request = got.field("Request-Id");
        const auto expected = got.field("Expect-Instance");
        const auto common = "Request-Id: " + request + "\r\nInstance-Id: " + id_ + "\r\n";
        if (!expected.empty() && expected != id_) {
            return write_all(fd, http_answer(421, common, ""));
        }
        const auto model = got.field("Model");
        if (!is_present(model)) {
            return write_all(fd, http_answer(421, common + "Not-Executed: 1\r\n", ""));
        }
        log_.line("worker %s runs %s", id_.c_str(), request.c_str());
        std::string bytes =
            "HTTP/1.1 200 OK\r\n" + common + "Response-Seal: " + id_ + "." + request +
            "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto after = std::atoi(got.field("Last-Event-Id").c_str());
        for (int number = after + 1; number <= events; ++number) {
            const auto event = "id: " + std::to_string(number) + "\ndata: " + request + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            bytes += size + event + "\r\n";
            if (!write_all(fd, bytes)) {
                return false;
            }
            bytes.clear();
            sleep_ms(event_ms);
        }
        return write_all(fd, "0\r\n\r\n");
    }

    // Adapters whose load has ended are present.
    void finish_loads()
    {
        for (auto item = coming_.begin(); item != coming_.end();) {
            if (clock_type::now() >= item->second) {
                present_.insert(item->first);
                item = coming_.erase(item);
            }
            else {
                ++item;
            }
        }
    }

    bool is_present(const std::string& model)
    {
        const std::lock_guard lock(mutex_);
        finish_loads();
        return model == "m0" || present_.count(model) != 0;
    }

    std::string report()
    {
        const std::lock_guard lock(mutex_);
        finish_loads();
        json adapters = json::array();
        for (const auto& name : present_) {
            adapters.push_back(name.substr(3) + "@1");
        }
        json coming = json::array();
        for (const auto& [name, when] : coming_) {
            coming.push_back(name + "@1");
        }
        return json{{"stage", "both"},
                    {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", adapters}}}},
                    {"busy", false},
                    {"seq", orders_},
                    {"waiting", 0},
                    {"running", 0},
                    {"kv_used", 0},
                    {"kv_total", 244427},
                    {"handles", 0},
                    {"coming", coming},
                    {"born", born_}}
            .dump();
    }

    int order(const message& got)
    {
        const std::lock_guard lock(mutex_);
        finish_loads();
        const auto body = json::parse(got.body, nullptr, false);
        const auto expected = got.field("Expect-Instance");
        if (!expected.empty() && expected != id_) {
            return 421;
        }
        if (!body.is_object() || !body.contains("holder") || !body.contains("fence") ||
            body.value("model", "") != "m0" || body.value("adapter", "").empty()) {
            return 400;
        }
        const auto adapter = body["adapter"].get<std::string>();
        const auto name = "m0/" + adapter;
        // Adapters are named a1 to a3000.
        const int number = adapter[0] == 'a' ? std::atoi(adapter.c_str() + 1) : 0;
        if (number < 1 || number > 3000) {
            return 400;
        }
        if (body.value("expect", orders_) != orders_) {
            return 409;
        }
        log_.line("worker %s: order %s %s", id_.c_str(), body.value("operation", "").c_str(),
                  name.c_str());
        if (body.value("operation", "") == "unload") {
            present_.erase(name);
            ++orders_;
            return 200;
        }
        if (present_.count(name) != 0) {
            return 200;
        }
        ++orders_;
        coming_[name] = clock_type::now() + std::chrono::milliseconds(load_ms);
        return 202;
    }

    std::string id_;
    long born_;
    record& log_;
    std::mutex mutex_;
    long orders_ = 0;
    std::set<std::string> present_;
    std::map<std::string, clock_type::time_point> coming_;
    server server_;
};

// One sidecar with the command of the deploy file.
inline std::unique_ptr<child> start_sidecar(const settings& given, const address& worker,
                                            int control_port, int number)
{
    return std::make_unique<child>(
        std::vector<std::string>{
            given.program, "sidecar",
            "--control-listen=" + worker.ip + ":" + std::to_string(control_port),
            "--admin-listen=" + worker.ip + ":" + std::to_string(free_port(worker.ip)),
            "--engine=" + worker.str(), "--host=side-" + std::to_string(number)},
        given.scratch + "/sidecar-" + std::to_string(number) + ".log");
}

} // namespace lab
