// Runs an entry host until it is stopped by a signal or superseded.
//
//     return runEntry(settings);
#pragma once

#include "basilhall/settings/entry_settings.h"

namespace basilhall::entry
{

// Exit code of a host whose journal was sealed by another host while it was paused or partitioned.
inline constexpr int kExitSuperseded = 75;

// Serves until SIGTERM, SIGINT or until the host is superseded. Then hands its shards over, waits
// for all requests to finish and returns 0, or kExitSuperseded if superseded. Throws
// boost::system::system_error if an address cannot be bound.
int runEntry(const settings::EntrySettings &settings);

} // namespace basilhall::entry
