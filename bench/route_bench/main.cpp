// Measures the cost of upstream selection and of claims at the expected size in two years.
//
// usage: route_bench
//
// Prints one line per figure. Memory is the growth of the resident set.

#include "base/stable_hash.h"
#include "claims/claim_journal.h"
#include "route/demand_meter.h"
#include "route/ranking.h"
#include "route/upstream_view.h"

#include <chrono>
#include <fmt/core.h>
#include <fstream>
#include <map>
#include <string>
#include <unistd.h>
#include <vector>

namespace snipespar {

namespace {

constexpr int upstream_count = 3800;
constexpr int service_count = 950;
constexpr int adapter_count = 82000;
constexpr int resident_per_engine = 32;
constexpr int passes = 3;

double resident_megabytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    constexpr double bytes_per_megabyte = 1e6;
    const auto page = static_cast<double>(sysconf(_SC_PAGESIZE));
    return static_cast<double>(resident) * page / bytes_per_megabyte;
}

// Runs `work` for each index below `count` and returns the microseconds per call.
template <class Work>
double time_each(int count, Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i) {
        work(i);
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / count;
}

std::map<upstream_id, config::upstream> make_upstreams()
{
    std::map<upstream_id, config::upstream> upstreams;
    for (int i = 0; i < upstream_count; ++i) {
        config::upstream item;
        item.id = upstream_id("u" + std::to_string(i));
        const bool service = i < service_count;
        item.kind = service ? config::upstream_kind::service : config::upstream_kind::engine;
        item.serves = service ? "orders" : "base";
        item.host = host_id("h" + std::to_string(i));
        item.failure_domain = failure_domain_id("d" + std::to_string(i % 3));
        item.max_running = 16;
        upstreams[item.id] = item;
    }
    return upstreams;
}

adapter_ref adapter(int number)
{
    return {adapter_id("adapter-" + std::to_string(number % adapter_count)), "1"};
}

route::load_report make_report(int upstream)
{
    route::load_report report;
    for (int i = 0; i < resident_per_engine; ++i) {
        report.resident.push_back(adapter(upstream * resident_per_engine + i));
    }
    return report;
}

void measure_routing()
{
    const time_point now(std::chrono::hours(1));
    double before = resident_megabytes();
    route::upstream_view view;
    view.set_upstreams(make_upstreams());
    std::vector<upstream_id> ids;
    for (const auto& status : view.upstreams()) {
        ids.push_back(status.id);
        view.on_link_up(status.id, 1);
    }
    const double report_us = time_each(upstream_count, [&](int i) {
        view.on_report(ids[static_cast<std::size_t>(i)], make_report(i), now);
    });
    fmt::print("view_memory_mb {:.1f}\n", resident_megabytes() - before);
    fmt::print("load_report_us {:.2f}\n", report_us);

    before = resident_megabytes();
    route::ranking ranking({}, failure_domain_id("d0"), 1);
    route::demand_meter demand;
    const auto choose = [&](int i) {
        route::engine_request request{adapter(i), "base", static_cast<std::uint64_t>(i), 0};
        request.demand_tokens_per_s =
            demand.on_request(stable_hash(request.adapter.str()), 300, now);
        ranking.choose_engine(view, request, {}, now);
    };
    fmt::print("first_choice_us {:.2f}\n", time_each(adapter_count, choose));
    fmt::print("later_choice_us {:.2f}\n", time_each(passes * adapter_count, choose));
    fmt::print("ranking_memory_mb {:.1f}\n", resident_megabytes() - before);
    fmt::print("service_choice_us {:.2f}\n", time_each(adapter_count, [&](int) {
                   ranking.choose_service(view, "orders", {}, now);
               }));
}

// Commits one claim at a time in one journal; the platform responds immediately.
void measure_claims()
{
    constexpr int claims = 20000;
    const double before = resident_megabytes();
    claims::journal_limits limits;
    limits.commits_per_s = 1e9;
    limits.commit_burst = 1e9;
    const incarnation self{host_id("entry"), 1};
    claims::claim_journal journal(0, self, limits);
    std::uint64_t version = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    const auto answer = [&](claims::journal_actions actions, const claims::instant& now) {
        while (!actions.empty()) {
            claims::journal_actions next;
            for (const auto& action : actions) {
                if (const auto* read = std::get_if<claims::read_object>(&action)) {
                    ++reads;
                    next =
                        journal.on_read(read->operation, {claims::read_status::absent, 0, {}}, now);
                }
                if (const auto* write = std::get_if<claims::write_object>(&action)) {
                    ++writes;
                    next = journal.on_write(write->operation,
                                            {claims::write_status::written, ++version}, now);
                }
            }
            actions = std::move(next);
        }
    };
    const double claim_us = time_each(claims, [&](int i) {
        const claims::instant now{time_point(std::chrono::milliseconds(10 * i)),
                                  claims::wall_time(std::chrono::milliseconds(10 * i))};
        const claims::claim_nonce nonce{self, static_cast<std::uint64_t>(i)};
        const auto key = claims::digest_of(std::to_string(i));
        answer(journal.claim({key, nonce, key, now.steady + std::chrono::seconds(2)}, now), now);
    });
    fmt::print("claim_commit_us {:.2f}\n", claim_us);
    fmt::print("claim_memory_bytes {:.0f}\n",
               (resident_megabytes() - before) * 1e6 / static_cast<double>(journal.report().keys));
    fmt::print("claim_platform_writes {:.3f}\n", static_cast<double>(writes) / claims);
    fmt::print("claim_platform_reads {:.3f}\n", static_cast<double>(reads) / claims);
}

} // namespace

} // namespace snipespar

int main()
{
    snipespar::measure_routing();
    snipespar::measure_claims();
    return 0;
}
