#pragma once

#include "control/adapter_demand.h"
#include "control/admission_answer.h"
#include "control/admission_request.h"
#include "control/crash_findings.h"
#include "control/gateway_usage.h"
#include "control/origin_answer.h"
#include "control/origin_question.h"
#include "control/origin_record.h"
#include "control/permit_answer.h"
#include "control/permit_request.h"
#include "control/sidecar_heartbeat.h"
#include "control/sidecar_report.h"
#include "control/stream_pause.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>

namespace snipespar::control {

/// A datagram between gateways and sidecars. A message states totals or a whole present state, or
/// names what it refers to, so that lost, duplicate or late ones are harmless.
using message =
    std::variant<adapter_demand, gateway_usage, sidecar_report, sidecar_heartbeat, crash_findings,
                 admission_request, admission_answer, stream_pause, permit_request, permit_answer,
                 origin_record, origin_question, origin_answer>;

/// Encodes a message as CBOR.
std::string encode(const message& content);

/// Returns InvalidArgument for bytes that are not a valid message.
absl::StatusOr<message> decode(std::string_view bytes);

} // namespace snipespar::control
