// Recovers programs after a takeover, ends them, and removes idle and expired ones. Not API.
#pragma once

#include "basilhall/owner/internal/call_runner.h"
#include "basilhall/owner/internal/owner_state.h"

#include <string_view>

namespace basilhall::owner::internal
{

// Not thread-safe.
class ProgramLifecycle
{
public:
    // `state` and `runner` must outlive the object.
    ProgramLifecycle(OwnerState &state, CallRunner &runner);

    // Starts to resolve the open intents of a shard that was taken over.
    void recoverShard(std::uint32_t shard, Instant now);
    // Frees the reservations of the shard's idle programs. A call that settles while its shard is
    // being released reserves nothing for the next one.
    void freeIdleReservations(std::uint32_t shard, Instant now);
    // Ends the program and frees the memory that it holds at endpoints.
    Result<void> end(const program::Program &program, std::string_view reason, Instant now);
    // Ends idle programs and removes ended ones after OwnerOptions::retention.
    void sweep(Instant now);

private:
    void recover(const program::Program &program, std::uint32_t shard, Instant now);

    OwnerState &m_state;
    CallRunner &m_runner;
    Instant m_nextSweep;
};

} // namespace basilhall::owner::internal
