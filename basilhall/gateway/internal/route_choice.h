// Decisions of the forwarder that need neither input nor output, and its bounds.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/call_context.h"

namespace basilhall::gateway
{

inline constexpr int kOk = 200;
inline constexpr int kFirstFailure = 400;
// Several times the way to another failure domain; an endpoint's host that is dark takes no more
// of the caller's time.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
inline constexpr Duration kDrainTimeout = std::chrono::milliseconds(100);
// An endpoint that could not be reached is left alone for so long.
inline constexpr Duration kUnreachablePause = std::chrono::milliseconds(500);
// An address that another endpoint has is left alone until the registration changes, or so long.
inline constexpr Duration kStrangerPause = std::chrono::seconds(2);
inline constexpr Duration kNoPolicyRetry = std::chrono::milliseconds(300);
// Reading what was kept takes about a second after a restart.
inline constexpr Duration kLoadRetry = std::chrono::milliseconds(500);
inline constexpr Duration kNoEndpointRetry = std::chrono::milliseconds(300);
inline constexpr Duration kRefusedRetry = std::chrono::milliseconds(200);
// Outages of the object API last seconds; a caller waits a third of its time at most.
inline constexpr Duration kStoreRetry = std::chrono::seconds(1);
// Endpoints that one request is sent to while none of them runs it; a service whose endpoints all
// refuse is full, and further sends only delay the answer.
inline constexpr std::uint32_t kMaxSends = 4;
// Time for a budget record to become durable before the turn is refused.
inline constexpr Duration kCoverTimeout = std::chrono::milliseconds(700);
// Tries to get a turn admitted: a record, a change of the home, and the answer.
inline constexpr std::uint32_t kAdmissionRounds = 5;
// Added to a turn's retention, for clocks of hosts that differ.
inline constexpr Duration kRetentionMargin = std::chrono::seconds(5);

// Finds route, team, deadline and work of the call. NotFound, Unauthenticated, DeadlineExceeded.
Result<void> resolveRoute(CallContext &context);
// 0 to 9, 0 first.
std::uint32_t priorityOf(const CallContext &context);
Error noEndpoint(const CallContext &context);
// Empty on public routes.
TeamName teamOf(const CallContext &context);
// Tokens that the passed events stand for.
std::uint64_t tokensOf(const CallContext &context);
WallMillis keptMillis(const fleet::Route &route);

} // namespace basilhall::gateway
