// The state of one request while the gateway serves it.
#pragma once

#include "basilhall/fleet/policy.h"
#include "basilhall/gateway/call.h"
#include "basilhall/http/cancellation.h"
#include "basilhall/http/exchange.h"
#include "basilhall/placement/work.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace basilhall::gateway
{

struct CallContext {
    std::shared_ptr<http::Exchange> exchange;
    Instant arrivedAt;
    // Keeps the route and the team alive.
    fleet::PolicyPtr policy;
    const fleet::Route *route = nullptr;
    // nullptr on public routes.
    const fleet::Team *team = nullptr;
    Call call;
    Instant deadline;
    placement::Work work;
    // What the endpoint reads as the body.
    std::string body;

    // Endpoints that refused or failed, and how many may have run the request.
    std::set<EndpointName> tried;
    std::uint32_t runs = 0;
    std::uint32_t sends = 0;
    EndpointName endpoint;

    bool isCallerGone = false;
    std::shared_ptr<http::Cancellation> cancellation = std::make_shared<http::Cancellation>();
    // Ends the answer in progress once the caller is gone.
    std::function<void()> stop;

    // Events passed on, and the data of those of kept turns.
    std::uint64_t events = 0;
    std::optional<std::uint64_t> lastEvent;
    std::string output;
    // The caller has the header of the answer.
    bool hasBegun = false;
    // The whole answer is the endpoint's own failure.
    bool isFailureAnswer = false;
    // A part of the program's budget is reserved for the turn.
    bool hasReservation = false;
    std::optional<Instant> firstEventAt;
};

} // namespace basilhall::gateway
