#include "basilhall/gateway/internal/route_choice.h"

#include "basilhall/base/monotonic_clock.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace basilhall::gateway
{

namespace
{

constexpr std::uint32_t kLowestPriority = 9;
// Added to the priority of a turn whose program is late.
constexpr std::uint32_t kLateProgramPriority = 2;
constexpr Duration kMinOverloadRetry = std::chrono::milliseconds(500);
constexpr Duration kOverloadRetrySpread = std::chrono::milliseconds(700);
constexpr std::uint64_t kRetrySteps = 64;
// Part of its time that a request may wait for the limits of endpoints.
constexpr int kBegunWaitPart = 3;
constexpr int kOtherWaitPart = 20;

// Selects a service of a split route by the hash of the request identifier and the weights.
const std::string &chooseService(const fleet::Route &route, const CallId &id)
{
    std::uint64_t total = 0;
    for (const fleet::WeightedService &part : route.services) {
        total += part.weight;
    }
    std::uint64_t point = total == 0 ? 0 : std::hash<std::string>()(id.value()) % total;
    for (const fleet::WeightedService &part : route.services) {
        if (point < part.weight) {
            return part.service;
        }
        point -= part.weight;
    }
    return route.services.front().service;
}

// The allowed regions of the call for an error text, with a space before; "" if all are allowed.
std::string regionsText(const CallContext &context)
{
    std::string text;
    for (const std::string &region : context.allowedRegions) {
        text += (text.empty() ? " in the allowed regions \"" : "\", \"") + region;
    }
    return text.empty() ? text : text + "\"";
}

// `allowing` names what allows the regions, for the error text.
Result<void> restrictTo(CallContext &context, const fleet::AllowedRegions &allowed,
                        const fleet::Regions &regions, const std::string &allowing)
{
    if (allowed->empty()) {
        return Error(ErrorKind::Unavailable, allowing + " allow no common region")
            .withNotRun()
            .withRetryAfter(kNoRegionRetry);
    }
    context.allowedRegions.assign(allowed->begin(), allowed->end());
    context.work.domains = regions.domainsIn(*allowed);
    if (context.work.domains->empty()) {
        return Error(ErrorKind::Unavailable, "no failure domain is" + regionsText(context))
            .withNotRun()
            .withRetryAfter(kNoRegionRetry);
    }
    return success();
}

} // namespace

Result<void> resolveRoute(CallContext &context)
{
    const Call &call = context.call;
    context.route = context.policy->findRoute(call.host, call.path);
    if (context.route == nullptr) {
        return Error(ErrorKind::NotFound, "no route serves the path").withNotRun();
    }
    if (context.policy->hasTeams() && !context.route->isPublic) {
        context.team = context.policy->findTeam(call.key);
        if (context.team == nullptr) {
            return Error(ErrorKind::Unauthenticated, "the key is missing or unknown").withNotRun();
        }
    }
    const Duration timeLimit =
        std::min(call.timeLeft.value_or(context.route->timeout), context.route->timeout);
    if (timeLimit <= Duration::zero()) {
        return Error(ErrorKind::DeadlineExceeded, "the deadline of the request has passed")
            .withNotRun();
    }
    context.deadline = context.arrivedAt + timeLimit;
    context.work.service = chooseService(*context.route, call.id);
    context.work.prompt = call.prompt;
    context.work.tokens = call.promptTokens
        + std::min(call.expectedOutputTokens.value_or(call.maxOutputTokens), call.maxOutputTokens);
    return success();
}

Result<void> restrictToRegions(CallContext &context, const fleet::Regions &regions)
{
    const fleet::Route &route = *context.route;
    const bool hasTeamRegions = context.team != nullptr && !context.team->allowedRegions.empty();
    if (route.allowedRegions.empty() && !hasTeamRegions) {
        return success();
    }
    const std::vector<std::string> any;
    return restrictTo(context,
                      fleet::allowedRegions(route.allowedRegions,
                                            hasTeamRegions ? context.team->allowedRegions : any),
                      regions, "the route and the team");
}

Result<void> restrictToPrevious(CallContext &context, const turns::TurnTable &turns,
                                const fleet::Regions &regions)
{
    const std::vector<std::string> kept = turns.allowedRegions(context.call.previousTurn);
    if (kept.empty()) {
        return success();
    }
    return restrictTo(context, fleet::allowedRegions(context.allowedRegions, kept), regions,
                      "the route, the team and the turns before");
}

void setRequestKeys(CallContext &context)
{
    const http::Request &request = context.exchange->request();
    const TeamName team = teamOf(context);
    const auto key = [&](std::string_view body) {
        return suspects::requestKey(
            {team.value(), request.method, context.call.host, request.target, body});
    };
    // The prompt of a program ends differently each time, as it repeats the answers before.
    if (context.route->kind == fleet::CallKind::Stream && !context.route->keepsTurns
        && !context.call.program.isEmpty()) {
        context.requestKey = key(std::string_view(request.body).substr(0, kPromptHeadBytes));
        context.bodyKey = key(request.body);
    } else {
        context.requestKey = key(request.body);
    }
}

Duration overloadRetry(std::uint64_t programHash)
{
    // Other bits than those that decide which programs are refused.
    const auto step = static_cast<Duration::rep>((programHash >> 32U) % kRetrySteps);
    return kMinOverloadRetry
        + kOverloadRetrySpread * step / static_cast<Duration::rep>(kRetrySteps);
}

std::uint32_t priorityOf(const CallContext &context)
{
    std::uint32_t priority = context.route->priority;
    if (context.team != nullptr && context.team->priority) {
        priority = *context.team->priority;
    }
    const auto &programTimeLeft = context.call.programTimeLeft;
    if (programTimeLeft && *programTimeLeft <= Duration::zero()) {
        priority += kLateProgramPriority;
    }
    return std::min(priority, kLowestPriority);
}

Error finalError(const CallContext &context, Error error)
{
    if (context.runs > 0) {
        return Error(error.kind(), error.message());
    }
    return error.withNotRun();
}

Error noEndpoint(const CallContext &context, const FleetState &state)
{
    if (!state.evacuations().isKnown()) {
        return Error(ErrorKind::Unavailable,
                     "the gateway does not know yet which failure domains are evacuated")
            .withRetryAfter(kNoEndpointRetry);
    }
    if (state.placement().isEvacuated(context.work)) {
        const std::string version = context.work.version
            ? " with version \"" + *context.work.version + "\", which began the stream,"
            : "";
        return Error(ErrorKind::Unavailable,
                     "all endpoints of service \"" + context.work.service + "\"" + version
                         + regionsText(context) + " are in evacuated failure domains")
            .withRetryAfter(kEvacuatedRetry);
    }
    if (context.work.version) {
        return Error(ErrorKind::Unavailable,
                     "no endpoint of service \"" + context.work.service + "\" with version \""
                         + *context.work.version + "\", which began the stream,"
                         + regionsText(context) + " is available")
            .withRetryAfter(kNoEndpointRetry);
    }
    return Error(ErrorKind::Unavailable,
                 "no endpoint of service \"" + context.work.service + "\"" + regionsText(context)
                     + " is available")
        .withRetryAfter(kNoEndpointRetry);
}

resumption::Continuation continuationOf(const CallContext &context)
{
    resumption::Continuation continuation;
    continuation.isNamed = !context.call.continues.isEmpty();
    continuation.team = teamOf(context);
    for (const fleet::WeightedService &part : context.route->services) {
        continuation.services.insert(part.service);
    }
    continuation.service = context.work.service;
    return continuation;
}

resumption::StreamOrigin originOf(const CallContext &context)
{
    const WallMillis now = MonotonicClock().wallMillis();
    const auto sentFor = std::chrono::duration_cast<std::chrono::milliseconds>(
        MonotonicClock().now() - context.sentAt);
    return {context.call.id,        teamOf(context),          context.work.service,
            context.sentTo.version, context.sentTo.name,      context.sentTo.startedAt,
            now - sentFor.count(),  continuableUntil(context)};
}

WallMillis continuableUntil(const CallContext &context)
{
    const Duration timeLimit =
        std::max(context.call.timeLeft.value_or(context.route->timeout), context.route->timeout);
    const Duration left =
        context.arrivedAt + timeLimit + kContinuationMargin - MonotonicClock().now();
    return MonotonicClock().wallMillis()
        + std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
}

Error limitReached(const CallContext &context, Duration wait)
{
    return Error(ErrorKind::Overloaded,
                 "all endpoints of service \"" + context.work.service + "\"" + regionsText(context)
                     + " have reached their request limits")
        .withRetryAfter(std::max(wait, kRefusedRetry));
}

bool isConnectionLost(const Error &error)
{
    return error.kind() == ErrorKind::ConnectionLost || error.kind() == ErrorKind::Unavailable;
}

Instant latestSend(SendRank rank, Instant now, Instant deadline)
{
    const Duration left = std::max(deadline - now, Duration::zero());
    return now + left / (rank == SendRank::BegunProgram ? kBegunWaitPart : kOtherWaitPart);
}

TeamName teamOf(const CallContext &context)
{
    return context.team == nullptr ? TeamName() : context.team->name;
}

std::uint64_t tokensOf(const CallContext &context)
{
    const fleet::Service *service = context.policy->findService(context.work.service);
    const std::uint64_t perEvent =
        service != nullptr && service->engine ? service->engine->tokensPerEvent : 1;
    return context.events * perEvent;
}

turns::KeptTurn takeKeptTurn(CallContext &context)
{
    turns::KeptTurn turn;
    turn.id = turns::TurnId(context.call.id.value());
    turn.team = teamOf(context);
    turn.previous = context.call.previousTurn;
    turn.input = context.exchange->request().body;
    turn.output = std::move(context.output);
    turn.keptUntil = MonotonicClock().wallMillis() + retentionMillis(*context.route);
    turn.allowedRegions = context.allowedRegions;
    return turn;
}

WallMillis retentionMillis(const fleet::Route &route)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(route.retention + kRetentionMargin)
        .count();
}

} // namespace basilhall::gateway
