// A decoded request of a caller, what the gateway sends to an endpoint, and what the answer states.
//
//     Result<Call> call = Dialect::decodeCall(request);
//     http::Request sent = Dialect::endpointRequest(request, dispatch, body);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/fleet/route.h"
#include "basilhall/http/message.h"
#include "basilhall/placement/prompt_part.h"
#include "basilhall/turns/kept_turn.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace basilhall::gateway
{

// Immutable value.
struct Call {
    // The caller chooses a new one for each attempt.
    CallId id;
    std::string host;
    std::string path;
    // Empty if the caller presented none.
    std::string key;
    // Time that the caller will wait for the answer.
    std::optional<Duration> timeLeft;
    // Empty for a request that belongs to no program.
    ProgramId program;
    // Time left for the whole program.
    std::optional<Duration> programTimeLeft;
    // Tokens that all turns of the program may generate.
    std::optional<std::uint64_t> tokenBudget;
    std::uint64_t promptTokens = 0;
    // Maximum number of tokens that the request may generate.
    std::uint64_t maxOutputTokens = 0;
    // The caller's estimate; often inaccurate.
    std::optional<std::uint64_t> expectedOutputTokens;
    placement::Prompt prompt;
    // The turn that this one continues; empty at the start of a chain.
    turns::TurnId previousTurn;
    // The last event that the caller has received in an earlier attempt.
    std::optional<std::uint64_t> lastEvent;
    // The attempt that brought the first event of the stream that this one continues; empty if not
    // stated.
    CallId continues;

    auto operator<=>(const Call &) const = default;
};

// What the gateway adds to a request for an endpoint.
struct Dispatch {
    fleet::Endpoint endpoint;
    // Empty on public routes.
    std::optional<TeamName> team;
    Duration timeLeft{};
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> resumeAfter;

    auto operator<=>(const Dispatch &) const = default;
};

// What the header of an answer states about the endpoint and the request.
struct AnswerFacts {
    // The endpoint states that it has not run the request.
    bool isNotRun = false;
    // The address belongs to another endpoint.
    bool isMisdirected = false;
    // The endpoint signed the answer.
    bool isSigned = false;
    // The endpoint announces that it leaves and is to get no new requests.
    bool isLeaving = false;
    // Requests a second that the endpoint takes from all gateways together; nullopt if not stated.
    std::optional<double> requestLimit;
    // The answer states a limit that is not a number.
    bool isLimitMalformed = false;
    // The request that the answer belongs to; empty if not stated.
    CallId call;

    auto operator<=>(const AnswerFacts &) const = default;
};

} // namespace basilhall::gateway
