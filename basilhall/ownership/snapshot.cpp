#include "basilhall/ownership/snapshot.h"

#include "basilhall/journal/batch_codec.h"

namespace basilhall::ownership
{

using journal::ProgramSnapshot;
using journal::Record;

namespace
{

Record &addRecord(std::vector<Record> &records, ShardId shard, std::uint64_t epoch,
                  const ProgramSnapshot &snapshot)
{
    Record &record = records.emplace_back();
    record.set_shard(shard);
    record.set_epoch(epoch);
    record.mutable_program_snapshot()->set_program_id(snapshot.program_id());
    return record;
}

} // namespace

std::vector<Record> splitSnapshot(ShardId shard, std::uint64_t epoch,
                                  const ProgramSnapshot &snapshot)
{
    std::vector<Record> records;
    ProgramSnapshot *part = addRecord(records, shard, epoch, snapshot).mutable_program_snapshot();
    if (snapshot.has_opened()) {
        *part->mutable_opened() = snapshot.opened();
    }
    part->set_spent_tokens(snapshot.spent_tokens());
    part->set_reserved_tokens(snapshot.reserved_tokens());
    // Reserves space for the fields of the last part other than its turns.
    std::size_t bytes = snapshot.open_intent().ByteSizeLong() + snapshot.ended().ByteSizeLong()
        + journal::encodedBytes(records.back());
    for (const journal::TurnSettled &turn : snapshot.turns()) {
        const std::size_t turnBytes = turn.ByteSizeLong() + sizeof(std::uint64_t);
        if (part->turns_size() > 0 && bytes + turnBytes > journal::kMaxBatchBytes) {
            part = addRecord(records, shard, epoch, snapshot).mutable_program_snapshot();
            bytes = snapshot.open_intent().ByteSizeLong() + snapshot.ended().ByteSizeLong()
                + journal::encodedBytes(records.back());
        }
        *part->add_turns() = turn;
        bytes += turnBytes;
    }
    if (snapshot.has_open_intent()) {
        *part->mutable_open_intent() = snapshot.open_intent();
    }
    if (snapshot.has_ended()) {
        *part->mutable_ended() = snapshot.ended();
    }
    return records;
}

} // namespace basilhall::ownership
