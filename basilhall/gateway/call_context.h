// The state of one request while the gateway serves it.
//
//     const auto context = std::make_shared<CallContext>();
//     context->exchange = exchange;
#pragma once

#include "basilhall/fleet/policy.h"
#include "basilhall/gateway/call.h"
#include "basilhall/gateway/internal/suspect_runs.h"
#include "basilhall/http/cancellation.h"
#include "basilhall/http/exchange.h"
#include "basilhall/placement/engine_model.h"
#include "basilhall/placement/work.h"
#include "basilhall/resumption/stream_origin.h"
#include "basilhall/resumption/stream_output.h"
#include "basilhall/suspects/request_key.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

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
    // The regions that the request may reach; empty if all. `work.domains` are those in them.
    std::vector<std::string> allowedRegions;
    suspects::RequestKey requestKey;
    // Key of the whole body, if `requestKey` is that of a family.
    std::optional<suspects::RequestKey> bodyKey;
    // The body of the request to the endpoint.
    std::string body;

    // Endpoints that refused or failed, how many may have run the request, and how often it was
    // sent.
    std::set<EndpointName> tried;
    std::uint32_t runs = 0;
    std::uint32_t sends = 0;
    EndpointName endpoint;
    // As it was registered at the time of the send.
    fleet::Endpoint sentTo;
    // Time at which the connection of the current answer had been established.
    Instant connectedAt;
    // For the rest of a stream that a caller continues: where the stream began, if that is
    // recorded.
    std::optional<resumption::StreamOrigin> origin;
    // The first event came from the process that is registered with `work.version`.
    bool isVersionProven = false;
    // The last send, and the state of its endpoint at that time.
    Instant sentAt;
    placement::SendConditions sendConditions;

    // The request is the first turn of a program that this gateway does not know.
    bool beginsProgram = false;

    bool isCallerGone = false;
    std::shared_ptr<http::Cancellation> cancellation = std::make_shared<http::Cancellation>();
    // Cancels the read of the current answer; called when the caller disconnects.
    std::function<void()> cancelRead;

    // The endpoint signed the current answer.
    bool isSignedAnswer = false;
    // The connection to the endpoint broke before the current answer was complete.
    bool isRunBroken = false;
    // Set while a run of a suspect goes on.
    SuspectRuns::Place suspectRun;

    // Number of forwarded events and, on routes that keep turns, their data.
    std::uint64_t events = 0;
    std::optional<std::uint64_t> lastEvent;
    std::string output;
    // What the turn has said, for gateways at which its caller may continue it, and how much of it
    // they were told. nullptr if the caller cannot continue it.
    std::shared_ptr<resumption::StreamOutput> said;
    std::size_t sharedEvents = 0;
    // The caller has continued the turn elsewhere.
    bool isSuperseded = false;
    // The header of the answer has been sent to the caller.
    bool hasResponseStarted = false;
    // The endpoint answered with an error status, which was forwarded.
    bool isFailureAnswer = false;
    // Tokens of the program's budget are reserved for the turn.
    bool hasReservation = false;
    // The turn is covered by records of its program's spending with this number or a higher one.
    std::uint64_t coverNumber = 0;
    std::optional<Instant> firstEventAt;
};

} // namespace basilhall::gateway
