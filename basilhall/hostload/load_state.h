// Whether a host keeps up with its own work.
#pragma once

namespace basilhall::hostload
{

enum class LoadState {
    // Events are handled when they occur.
    Normal,
    // Each event waits noticeably.
    Late,
    // Each event waits so long that requests, which take several, miss their deadlines.
    Overloaded,
};

} // namespace basilhall::hostload
