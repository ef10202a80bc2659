// Runs the calls of a program through their phases. Not API.
#pragma once

#include "basilhall/owner/internal/call_records.h"
#include "basilhall/owner/internal/owner_state.h"
#include "basilhall/owner/internal/replies.h"
#include "basilhall/owner/owner.h"

namespace basilhall::owner::internal
{

// Not thread-safe.
class CallRunner
{
public:
    // `state` must outlive the runner.
    CallRunner(OwnerState &state, EndpointChooser chooseEndpoint);

    // Starts the next call of the queue if none is in progress; removes a queue without calls.
    void startNext(const ProgramId &program, Instant now);
    // The intent or the last record of the current call has become durable.
    void recordDurable(CallQueue &queue, Instant now);
    void dispatchEnded(CallQueue &queue, const Result<wire::Answer> &result, Instant now);
    void resolved(CallQueue &queue, const Result<wire::ResolveReply> &reply, Instant now);
    // Queries the agent of a resolving call again once the interval has passed.
    void pollResolve(CallQueue &queue, Instant now);
    // Stops the current call, whose answer is no longer needed, if that is safe in its phase.
    void withdraw(CallQueue &queue);

private:
    bool startAttempt(CallQueue &queue, Call &call, Instant now);
    Result<std::uint64_t> allowedTokens(const CallQueue &queue, const Call &call) const;
    void dispatch(CallQueue &queue, Call &call, Instant now);
    void answered(CallQueue &queue, Call &call, const wire::Answer &answer, Instant now);
    void refused(CallQueue &queue, Call &call, const Error &error, Instant now);
    void interrupted(CallQueue &queue, Call &call, const Error &error, Instant now);
    void startResolving(Call &call, Instant now);
    void settleDone(CallQueue &queue, Call &call, const wire::Answer &answer, Instant now);
    void settleUnknown(CallQueue &queue, Call &call, Instant now);
    void retryOrFail(CallQueue &queue, Call &call, const Error &reason, Instant now);
    void withdrawAndFail(CallQueue &queue, Call &call, const Error &error, Instant now);
    void fail(CallQueue &queue, Call &call, const Error &error, Instant now);
    void removeCurrent(CallQueue &queue, Instant now);

    OwnerState &m_state;
    CallRecords m_records;
    Replies m_replies;
    EndpointChooser m_chooseEndpoint;
    std::uint64_t m_lastDispatch = 0;
};

} // namespace basilhall::owner::internal
