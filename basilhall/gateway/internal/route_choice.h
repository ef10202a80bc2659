// Decisions of the forwarder that need no I/O, and its limits.
//
//     BOOST_OUTCOME_TRY(resolveRoute(context));
//     dispatch.priority = priorityOf(context);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/fleet/regions.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/send_queue.h"
#include "basilhall/resumption/continuation.h"
#include "basilhall/turns/kept_turn.h"
#include "basilhall/turns/turn_table.h"

namespace basilhall::gateway
{

inline constexpr int kOk = 200;
inline constexpr int kFirstErrorStatus = 400;
// Several round trips to another failure domain. Limits the time that a request loses on an
// unreachable host.
inline constexpr Duration kEndpointConnectTimeout = std::chrono::milliseconds(250);
// Bounds on what endpoints make a gateway hold: for one answer, in memory for all answers and
// streams that are read at the time, and for one event of a stream. A body that grows is in memory
// twice for a moment.
inline constexpr std::size_t kMaxAnswerBytes = 8UL * 1024 * 1024;
inline constexpr std::size_t kMaxBufferedBytes = 16UL * 1024 * 1024;
inline constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
// An endpoint that could not be reached receives no requests for this time.
inline constexpr Duration kUnreachablePause = std::chrono::milliseconds(500);
// An endpoint whose address belongs to another endpoint receives no requests until its registration
// changes, or for this time.
inline constexpr Duration kWrongEndpointPause = std::chrono::seconds(2);
inline constexpr Duration kNoPolicyRetry = std::chrono::milliseconds(300);
// Loading the kept turns and spending takes about a second after a restart.
inline constexpr Duration kNotLoadedRetry = std::chrono::milliseconds(500);
// Time to send an answer, or the refusal at a deadline, to the caller.
inline constexpr Duration kAnswerMargin = std::chrono::milliseconds(100);
// Time to connect to another gateway.
inline constexpr Duration kStoppingRetry = std::chrono::milliseconds(20);
inline constexpr Duration kNoEndpointRetry = std::chrono::milliseconds(300);
// Only a new configuration or a restart of the gateway can allow a region that has endpoints.
inline constexpr Duration kNoRegionRetry = std::chrono::seconds(5);
// Operators end an evacuation after minutes; callers notice the end of it within a second.
inline constexpr Duration kEvacuatedRetry = std::chrono::seconds(1);
// While more requests of programs that have begun wait than can be sent in this time, no further
// one begins.
inline constexpr double kBacklogSeconds = 0.1;
// A waiting request looks again after this time at the latest, since limits may end meanwhile.
inline constexpr Duration kMaxSendPause = std::chrono::milliseconds(50);
inline constexpr Duration kRefusedRetry = std::chrono::milliseconds(200);
// Outages of the object API last seconds; a caller loses at most a third of its time by waiting.
inline constexpr Duration kStoreRetry = std::chrono::seconds(1);
// Maximum number of endpoints that one request is sent to while all refuse it. If this many refuse,
// the service is overloaded, and further attempts only delay the answer.
inline constexpr std::uint32_t kMaxSends = 4;
// A request that may have crashed an endpoint is kept apart from others while no more endpoints
// than this run such requests.
inline constexpr std::size_t kMaxAvoided = 4;
// Beginning of a whole prompt that identifies the request among those with the same target.
inline constexpr std::size_t kPromptHeadBytes = 200;
// Time for a budget record to become durable before the turn is refused.
inline constexpr Duration kCoverTimeout = std::chrono::milliseconds(700);
// Time for which the end of a turn waits for the record of its spending.
inline constexpr Duration kEndCoverTimeout = std::chrono::milliseconds(700);
// Maximum admission attempts per turn: enough for a record, a change of the home, and the answer.
inline constexpr std::uint32_t kAdmissionRounds = 5;
// Another gateway may still choose an endpoint this long after its registration has been removed.
inline constexpr Duration kMaxListDelay = std::chrono::milliseconds(1500);
// Added to the time of a caller to cover clock differences between hosts.
inline constexpr Duration kContinuationMargin = std::chrono::seconds(5);
// Added to the retention of a turn to cover clock differences between hosts.
inline constexpr Duration kRetentionMargin = std::chrono::seconds(5);

// Determines the route, team, deadline and work of the call. Errors: NotFound, Unauthenticated,
// DeadlineExceeded.
Result<void> resolveRoute(CallContext &context);
// Limits the call to the regions that its route and its team allow. Unavailable if that leaves
// none. Call it after resolveRoute().
Result<void> restrictToRegions(CallContext &context, const fleet::Regions &regions);
// The same for the regions that the turns before it, which are part of its prompt, were kept with.
Result<void> restrictToPrevious(CallContext &context, const turns::TurnTable &turns,
                                const fleet::Regions &regions);
// Sets the keys of the request; see suspects::requestKey(). Call it after resolveRoute().
void setRequestKeys(CallContext &context);
// Returns the time after which a program that was refused because of overload may try again: about
// the time of a turn, spread so that the refused programs do not return together.
Duration overloadRetry(std::uint64_t programHash);
// Returns the priority from 0 to 9; 0 is served first. Turns of programs that are late are served
// after those that can still end in time.
std::uint32_t priorityOf(const CallContext &context);
// Adds notRun() to the error only if no attempt can have run; removes it otherwise.
Error finalError(const CallContext &context, Error error);
// No endpoint can get the request; the message states whether that is due to evacuations.
Error noEndpoint(const CallContext &context, const FleetState &state);
// Returns what is known of the stream that the call continues, without its origin.
resumption::Continuation continuationOf(const CallContext &context);
// Returns where the stream of the call began: at the endpoint of the current answer.
resumption::StreamOrigin originOf(const CallContext &context);
// Returns the wall-clock time in ms until which the caller may continue its stream.
WallMillis continuableUntil(const CallContext &context);
// The endpoints of the service have reached the limits that they state; one of them may be sent
// this request after `wait`.
Error limitReached(const CallContext &context, Duration wait);
// True if the connection to an endpoint was refused or broke, as when its process ended.
bool isConnectionLost(const Error &error);
// Returns the latest time at which a request that waits for the limits of endpoints is sent, so
// that it can still be served in time.
Instant latestSend(SendRank rank, Instant now, Instant deadline);
// Empty on public routes.
TeamName teamOf(const CallContext &context);
// Returns the number of tokens in the forwarded events.
std::uint64_t tokensOf(const CallContext &context);
// Returns the complete turn of the call, to keep it. Moves the output out of the context.
turns::KeptTurn takeKeptTurn(CallContext &context);
// Returns the time in ms for which turns of the route are kept, including kRetentionMargin.
WallMillis retentionMillis(const fleet::Route &route);

} // namespace basilhall::gateway
