#include "execution_record.h"

#include <nlohmann/json.hpp>

namespace service_stand_in {

std::uint64_t execution_record::executed(const std::string& request_id,
                                         const std::string& idempotency_key)
{
    if (!request_id.empty()) {
        ++by_request_[request_id];
    }
    if (!idempotency_key.empty()) {
        ++by_key_[idempotency_key];
    }
    return ++total_;
}

std::string execution_record::report(const std::string& find) const
{
    const bool found = !find.empty() && bytes_.find(find) != std::string::npos;
    const nlohmann::json document{
        {"total", total_}, {"by_request", by_request_}, {"by_key", by_key_}, {"found", found}};
    return document.dump();
}

} // namespace service_stand_in
