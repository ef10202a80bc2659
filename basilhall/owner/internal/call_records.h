// Writes the records of calls to the journal. Not API.
#pragma once

#include "basilhall/owner/internal/owner_state.h"

namespace basilhall::owner::internal
{

// Not thread-safe.
class CallRecords
{
public:
    // `state` must outlive the object.
    explicit CallRecords(OwnerState &state)
        : m_state(state)
    {
    }

    // Writes the intent of the current attempt, preceded by the opening record if the program is
    // new. The call then waits until the intent is durable. Returns StoreUnavailable, marked not
    // run, during an outage.
    Result<void> writeIntent(CallQueue &queue, Call &call, std::uint64_t reserve, Instant now);
    // Writes the turn of the current call. The callers get `deferredReply` once it is durable.
    void settle(CallQueue &queue, Call &call, journal::TurnOutcome outcome,
                const wire::Answer &answer, DeferredReply deferredReply, Instant now);
    // Tries again to write the turn of the current call, which the journal has refused so far.
    void retrySettlement(CallQueue &queue, Instant now);
    // Ends the current attempt without a turn. The attempt may have spent up to `spent` tokens.
    void writeWithdrawal(const ProgramId &program, const CallId &call, std::uint64_t spent,
                         Instant now);

private:
    Result<void> writeOpening(const CallQueue &queue, const Call &call, Instant now);
    void fillSpending(journal::TurnSettled &settled, const CallQueue &queue, const Call &call,
                      const wire::Usage &usage) const;
    void awaitRecord(const CallQueue &queue, Call &call, journal::RecordTicket ticket, Instant now);

    OwnerState &m_state;
};

} // namespace basilhall::owner::internal
