// One request of a caller, decoded.
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
    // Chosen by the caller anew for each attempt.
    CallId id;
    std::string host;
    std::string path;
    // Empty if the caller presented none.
    std::string key;
    // Time that the caller waits for the answer.
    std::optional<Duration> timeLeft;
    // Empty for a request that belongs to no program.
    ProgramId program;
    // Time that the whole program has left.
    std::optional<Duration> programTimeLeft;
    // Tokens that all turns of the program may generate.
    std::optional<std::uint64_t> tokenBudget;
    std::uint64_t promptTokens = 0;
    // Most tokens that the request generates.
    std::uint64_t mostOutputTokens = 0;
    // The caller's estimate; often far off.
    std::optional<std::uint64_t> expectedOutputTokens;
    placement::Prompt prompt;
    // The turn that this one goes on from; empty at the start of a chain.
    turns::TurnId previousTurn;
    // Events up to this one have reached the caller already.
    std::optional<std::uint64_t> lastEvent;

    auto operator<=>(const Call &) const = default;
};

// What the gateway adds to a request for an endpoint.
struct Dispatch {
    fleet::Endpoint endpoint;
    // Nothing on public routes.
    std::optional<TeamName> team;
    Duration timeLeft{};
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> resumeAfter;

    auto operator<=>(const Dispatch &) const = default;
};

// What the header of an endpoint's answer says.
struct AnswerFacts {
    // The endpoint states that it has not run the request.
    bool isNotRun = false;
    // Another endpoint has the address.
    bool isOtherEndpoint = false;
    // The endpoint vouches for the answer.
    bool isSigned = false;
    // The request that it answers, if it says so.
    CallId call;

    auto operator<=>(const AnswerFacts &) const = default;
};

} // namespace basilhall::gateway
