// State of one call, from its arrival until its last record is durable. Not API.
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/journal/writer.h"
#include "basilhall/owner/call_ticket.h"
#include "basilhall/owner/endpoint_choice.h"
#include "basilhall/program/model_request.h"
#include "basilhall/wire/wire.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace basilhall::owner::internal
{

enum class CallPhase {
    // Waits for earlier calls of its program.
    Queued,
    // Its intent is not durable yet; it has not been dispatched.
    WaitingForIntent,
    // An agent runs it.
    Dispatched,
    // The agent is being queried for its outcome.
    Resolving,
    // Its last record is not durable yet.
    WaitingForRecord,
};

// Returns the name of `phase` in status documents.
std::string_view toString(CallPhase phase);

// Reply that the callers get once the last record is durable.
using DeferredReply = std::variant<std::monostate, wire::CallFinished, Error>;

struct Call {
    // True once an agent may have received the call.
    bool hasStarted() const
    {
        return phase != CallPhase::Queued && phase != CallPhase::WaitingForIntent;
    }

    // Caller that gets the chunks; 0 if the call was recovered from a journal.
    CallTicket primary = 0;
    // All callers that wait for the answer, including the primary one until its final reply.
    std::vector<CallTicket> waitingTickets;
    wire::CallRequest request;
    std::string bodyDigest;
    std::optional<program::ModelRequest> model;
    bool idempotent = true;
    Instant deadline;
    Instant phaseSince;

    CallPhase phase = CallPhase::Queued;
    // Record that must be durable before the next phase.
    journal::RecordTicket awaitedRecord = 0;
    DeferredReply deferredReply;
    // Last record, while the journal does not accept it.
    std::optional<journal::Record> unwrittenRecord;
    // True once the call was stopped because no caller needs its answer.
    bool withdrawn = false;

    // True once an attempt was interrupted. Errors of the call must then not be marked "not run".
    bool mayHaveRun = false;
    unsigned attempts = 0;
    std::vector<EndpointName> failedEndpoints;
    // Why the last attempt failed.
    std::optional<Error> lastFailure;
    EndpointChoice choice;
    std::string dispatchId;
    std::uint64_t maxTokens = 0;
    // Messages that the call adds to the history.
    std::string addedMessages;
    bool hasStreamed = false;
    // Time of the next query to the agent, and of its last answer or the first query.
    Instant nextResolveAt;
    Instant unansweredSince;
};

} // namespace basilhall::owner::internal
