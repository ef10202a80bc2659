// Admits calls, and removes callers that disconnect or whose deadline passes. Not API.
#pragma once

#include "basilhall/owner/internal/call_runner.h"
#include "basilhall/owner/internal/owner_state.h"
#include "basilhall/owner/internal/replies.h"

#include <memory>
#include <optional>

namespace basilhall::owner::internal
{

// Not thread-safe.
class CallIntake
{
public:
    // `state` and `runner` must outlive the object.
    CallIntake(OwnerState &state, CallRunner &runner);

    void callArrived(CallTicket ticket, wire::CallRequest request, Instant now);
    void callerGone(CallTicket ticket, Instant now);
    // Replies DeadlineExceeded to the callers whose deadline has passed.
    void expireDeadlines(Instant now);
    // Refuses the calls whose intent cannot be written during an outage of the object API.
    void refuseDuringOutage(Instant now);

private:
    enum class RemovalReason { CallerGone, EndedByOwner };

    std::optional<Error> refusalOf(const wire::CallRequest &request) const;
    Result<std::unique_ptr<Call>> makeCall(CallTicket ticket, wire::CallRequest request,
                                           Instant now) const;
    bool joinCallInProgress(CallTicket ticket, const wire::CallRequest &request);
    bool replaySettledTurn(CallTicket ticket, const wire::CallRequest &request);
    void removeCaller(CallTicket ticket, const Error &error, RemovalReason reason, Instant now);

    OwnerState &m_state;
    CallRunner &m_runner;
    Replies m_replies;
};

} // namespace basilhall::owner::internal
