// Reads the checkpoints and journal ranges of shards that were taken over.
//
//     Reader reader(claimedStates, ids, {});
//     // ... advance() and onOutcome() until isDone(), and after each event:
//     for (const Record &record : reader.take()) {
//         state.apply(record);
//     }
//     for (const auto &[shard, error] : reader.failures()) {
//         // The shard cannot be served; the error names the object.
//     }
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/journal/read_plan.h"
#include "basilhall/journal/reader_options.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace basilhall::journal
{

// Not thread-safe. Returns the records of each shard in the order in which they were appended;
// records of different shards may be interleaved. A missing or damaged object fails only the shards
// that need it. Memory is bounded by ReaderOptions.
class Reader
{
public:
    // `ids` must outlive the reader.
    Reader(std::vector<ShardState> states, store::OperationIdSource &ids, ReaderOptions options);

    // Returns the reads to execute now.
    std::vector<store::Operation> advance(Instant now);
    // Processes the outcome of a read; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns when advance() must be called next, or nothing if only another event can give it
    // work.
    std::optional<Instant> nextWake() const;

    // Returns the records that became ready since the last call.
    std::vector<Record> take();
    // True once all records were taken, except those of failed shards.
    bool isDone() const;
    // Shards that cannot be read, each with the error that names the object.
    const std::map<std::uint32_t, Error> &failures() const { return m_failures; }
    // Number of reads issued so far, including retries.
    std::uint64_t reads() const { return m_reads; }

private:
    struct Slot {
        ReadStep step;
        store::OperationId outstanding = 0;
        Instant retryAt = Instant::min();
        store::Backoff backoff;
        bool ready = false;
        std::vector<Record> records;
    };

    void fillWindow();
    bool isNeeded(const ReadStep &step) const;
    void failShards(const ReadStep &step, const Error &error);
    void decodeObject(Slot &slot, const store::Object &object);
    void keepRecordsOfShards(Slot &slot, google::protobuf::RepeatedPtrField<Record> *records);
    void moveReadyRecords();

    ReadPlan m_plan;
    store::OperationIdSource &m_ids;
    ReaderOptions m_options;
    // Window of the objects that are read ahead, in the order of the plan.
    std::deque<Slot> m_slots;
    bool m_isPlanExhausted = false;
    std::vector<Record> m_ready;
    std::size_t m_readyBytes = 0;
    std::map<std::uint32_t, Error> m_failures;
    std::uint64_t m_reads = 0;
};

} // namespace basilhall::journal
