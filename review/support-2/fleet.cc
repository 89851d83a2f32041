#include "fleet.hh"

#include <cstdlib>

namespace review {

paths read_paths(int argc, char** argv)
{
    if (argc != 5) {
        std::_Exit(2);
    }
    return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
}

// The words of deploy/system.toml.
member start_gateway(const paths& where, const site_bounds& bounds, const std::string& host,
                     const std::string& domain, const std::string& ip, int control_port,
                     const endpoint& platform)
{
    member result;
    result.host = host;
    result.listen = free_endpoint(ip);
    result.admin = free_endpoint(ip);
    result.command = {where.program,
                      "gateway",
                      "--listen=" + result.listen.str(),
                      "--admin-listen=" + result.admin.str(),
                      "--control-listen=" + endpoint{ip, control_port}.str(),
                      "--platform=" + platform.str(),
                      "--host=" + host,
                      "--failure-domain=" + domain,
                      "--leave-bound=" + bounds.drain_ms + "ms",
                      "--stop-grace=" + bounds.grace_s + "s",
                      "--memory-limit=" + bounds.memory_mb + "MiB",
                      "--max-descriptors=4100",
                      "--evacuation-bound=ms",
                      "--retry-ratio=0.2",
                      "--retry-slack=" + bounds.budget_slack};
    result.log = where.scratch + "/" + host + ".log";
    result.start();
    return result;
}

member start_sidecar(const paths& where, const std::string& host, const std::string& ip,
                     int control_port, const endpoint& engine)
{
    member result;
    result.host = host;
    result.admin = free_endpoint(ip);
    result.command = {where.program,
                      "sidecar",
                      "--control-listen=" + endpoint{ip, control_port}.str(),
                      "--admin-listen=" + result.admin.str(),
                      "--engine=" + engine.str(),
                      "--host=" + host,
                      "--placement=work",
                      "--retention=demand"};
    result.log = where.scratch + "/" + host + ".log";
    result.start();
    return result;
}

std::string worker_entry(const std::string& service, const endpoint& address, int slots,
                         std::int64_t born)
{
    return "{\"upstream\":\"" + service + "\",\"address\":\"" + address.str() +
           "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":" +
           std::to_string(born) + "}";
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace review
