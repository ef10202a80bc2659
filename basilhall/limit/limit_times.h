// The durations that the limiter and its hosts agree on.
#pragma once

#include "basilhall/base/time.h"

#include <compare>

namespace basilhall::limit
{

// Immutable value. Must be the same on every host of a fleet.
struct LimitTimes {
    // A limiter may grant for this long after it sent its last successful lease renewal.
    Duration lease = std::chrono::seconds(6);
    // A grant of several requests is valid for this long after the host asked for it.
    Duration validity = std::chrono::seconds(1);
    // The validity of a grant of a single request, for which a call is waiting.
    Duration directValidity = std::chrono::milliseconds(100);
    // Upper bound of the time from a host's last check of a grant until the request is sent. It
    // includes the clock drift between two hosts over one validity.
    Duration maxSendDelay = std::chrono::milliseconds(100);

    auto operator<=>(const LimitTimes &) const = default;

    // How long a successor waits after the last renewal that it saw.
    Duration successorWait() const { return lease + validity + maxSendDelay; }
    // How long a successor waits after the holder of a Tenure::HostListed slice left the host list.
    Duration hostListedWait() const { return validity + maxSendDelay; }
};

} // namespace basilhall::limit
