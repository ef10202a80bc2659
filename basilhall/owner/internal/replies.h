// Sends the final replies to callers. Not API.
#pragma once

#include "basilhall/owner/internal/owner_state.h"

namespace basilhall::owner::internal
{

// Not thread-safe.
class Replies
{
public:
    // `state` must outlive the object.
    explicit Replies(OwnerState &state)
        : m_state(state)
    {
    }

    // Sends the final reply to one caller.
    void reply(CallTicket ticket, const Error &error);
    void reply(CallTicket ticket, wire::CallFinished finished);
    // Sends the recorded outcome of a settled turn.
    void replay(CallTicket ticket, const journal::TurnSettled &turn);

private:
    OwnerState &m_state;
};

} // namespace basilhall::owner::internal
