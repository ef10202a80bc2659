// Tells from the lateness of a periodic timer whether a host keeps up with its own work.
//
// The timer fires behind all events that the loop has to handle first, so its lateness is what each
// event of a request waits: while the processor time of the host is used up, everything is late,
// whatever the store and the peers do. A slow store delays records but not the timer.
//
//     HostLoad load;
//     load.onTimer(now - expectedAt, now);
//     if (load.state() == LoadState::Overloaded) { ... }
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/hostload/load_state.h"

#include <optional>

namespace basilhall::hostload
{

// Not thread-safe.
class HostLoad
{
public:
    // The timer fired `lateBy` after it was due. Returns true if the state has changed. Any
    // interval is allowed; one of some tens of milliseconds shows a change within about a second.
    bool onTimer(Duration lateBy, Instant now);

    LoadState state() const { return m_state; }
    // Mean lateness over about the last second.
    Duration loopDelay() const { return m_loopDelay; }

private:
    LoadState nextState() const;

    LoadState m_state = LoadState::Normal;
    Duration m_loopDelay{};
    std::optional<Instant> m_updatedAt;
};

} // namespace basilhall::hostload
