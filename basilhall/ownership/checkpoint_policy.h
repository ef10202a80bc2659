// Decides when the owner of a shard should write a checkpoint.
//
//     if (isCheckpointDue({batches, recordBytes}, stateBytes)) {
//         // Start a Checkpointer.
//     }
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace basilhall::ownership
{

// What a new owner would have to read in addition to the checkpoint. Immutable value.
struct ReplayCost {
    std::uint64_t batches = 0;
    // Encoded size of this shard's records in these batches.
    std::uint64_t bytes = 0;

    auto operator<=>(const ReplayCost &) const = default;
};

// Number of batches in a shard's ranges at which a checkpoint is due.
inline constexpr std::uint64_t kMaxReplayBatches = 512;
// Fewer bytes of records than this never make a checkpoint due by themselves.
inline constexpr std::uint64_t kMinReplayBytes = 4 * 1024 * 1024;

// True if a checkpoint is due for a shard whose state takes `stateBytes` bytes. Except for
// checkpoints that are due by kMaxReplayBatches, checkpoints write at most as many bytes as the
// journal.
constexpr bool isCheckpointDue(const ReplayCost &cost, std::uint64_t stateBytes)
{
    return cost.batches >= kMaxReplayBatches || cost.bytes >= std::max(kMinReplayBytes, stateBytes);
}

} // namespace basilhall::ownership
