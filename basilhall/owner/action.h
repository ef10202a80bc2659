// Actions that the owner requests from its driver; see Owner::takeActions().
//
//     for (const Action &action : owner.takeActions()) {
//         if (const auto *dispatch = std::get_if<DispatchCall>(&action)) {
//             send(dispatch->agent, dispatch->request);
//         }
//     }
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/error.h"
#include "basilhall/base/identifier.h"
#include "basilhall/owner/call_ticket.h"
#include "basilhall/wire/wire.pb.h"

#include <variant>

namespace basilhall::owner
{

// Sends the request to the agent. The chunks of the answer go to the caller that `ticket`
// identifies; the end of the dispatch is reported to Owner::dispatchEnded().
struct DispatchCall {
    CallTicket ticket;
    EndpointName endpoint;
    Address agent;
    wire::DispatchRequest request;
};

// Cancels a dispatch whose answer is no longer needed. Its end is still reported to
// Owner::dispatchEnded().
struct CancelDispatch {
    std::string dispatchId;
};

// Asks the agent for the outcome of a dispatch; the answer goes to Owner::resolved().
struct ResolveCall {
    Address agent;
    wire::ResolveRequest request;
};

// Tells the agent that it may free the memory that the program holds at its endpoint.
struct ReleaseProgram {
    Address agent;
    wire::ReleaseRequest request;
};

// Reports that the call was dispatched; sent at most once per ticket, before the first chunk.
struct ReplyStarted {
    CallTicket ticket;
    wire::CallStarted started;
};

// Final reply to a caller: the answer.
struct ReplyFinished {
    CallTicket ticket;
    wire::CallFinished finished;
};

// Final reply to a caller: the reason why there is no answer.
struct ReplyError {
    CallTicket ticket;
    Error error;
};

using Action = std::variant<DispatchCall, CancelDispatch, ResolveCall, ReleaseProgram, ReplyStarted,
                            ReplyFinished, ReplyError>;

} // namespace basilhall::owner
