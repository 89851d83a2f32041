#pragma once

#include "link/frame/accepted.h"
#include "link/frame/body_chunk.h"
#include "link/frame/cancel.h"
#include "link/frame/challenge.h"
#include "link/frame/credentials.h"
#include "link/frame/done.h"
#include "link/frame/failed.h"
#include "link/frame/heartbeat.h"
#include "link/frame/heartbeat_ack.h"
#include "link/frame/peer_message.h"
#include "link/frame/refused.h"
#include "link/frame/response_head.h"
#include "link/frame/run_request.h"
#include "link/frame/started.h"
#include "link/frame/token.h"
#include "link/frame/upstream_report.h"
#include "link/frame/welcome.h"
#include "link/frame/window.h"

#include <variant>

namespace snipespar::link {

/// Version of the link protocol. Fields may be added at the end of a frame without raising it.
inline constexpr std::uint32_t protocol_version = 1;

/// Any message on a link. The index of an alternative is its type code on the wire, so new frames
/// are added at the end.
using frame = std::variant<challenge, credentials, welcome, heartbeat, heartbeat_ack, run_request,
                           cancel, window, accepted, started, refused, response_head, token,
                           body_chunk, done, failed, upstream_report, peer_message>;

} // namespace snipespar::link
