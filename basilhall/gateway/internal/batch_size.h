// How large the batches of the journal are.
//
//     writer.setBatchBytes(batchBytes(now - sentAt, loopDelay));
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/journal/batch_codec.h"

#include <algorithm>
#include <cstddef>

namespace basilhall::gateway
{

// A batch is written and read as a whole by the thread that serves requests, and the records behind
// it wait.
inline constexpr std::size_t kMinBatchBytes = 96 * 1024;
// Below the limit of an object, so that a batch that reaches it is sent without waiting.
inline constexpr std::size_t kMaxSlowBatchBytes = 640 * 1024;
static_assert(kMaxSlowBatchBytes < journal::kMaxBatchBytes);
// Time in which the object API normally accepts a batch.
inline constexpr Duration kNormalWriteTime = std::chrono::milliseconds(40);
// Delay of the event loop from which the host, and not the object API, is taken to be slow.
inline constexpr Duration kLateLoop = std::chrono::milliseconds(10);

// Returns the size of the next batches if the last one took `writeTime`, with the current delay of
// the event loop. One batch is written at a time, so with a slow object API only larger batches
// keep up with the turns that end. On a late host they would make every event later still.
constexpr std::size_t batchBytes(Duration writeTime, Duration loopDelay)
{
    if (writeTime <= kNormalWriteTime || loopDelay >= kLateLoop) {
        return kMinBatchBytes;
    }
    const auto scaled = kMinBatchBytes * static_cast<std::size_t>(writeTime.count())
        / static_cast<std::size_t>(kNormalWriteTime.count());
    return std::min(scaled, kMaxSlowBatchBytes);
}

} // namespace basilhall::gateway
