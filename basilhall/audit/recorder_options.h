// How long records wait for others of their batch.
#pragma once

#include "basilhall/base/time.h"

namespace basilhall::audit
{

struct RecorderOptions {
    // For all but the records that a manifest is in force.
    Duration flushDelay = std::chrono::seconds(2);
    // For the records that a manifest is in force: every process makes one for each publication.
    Duration inForceDelay = std::chrono::minutes(10);
};

} // namespace basilhall::audit
