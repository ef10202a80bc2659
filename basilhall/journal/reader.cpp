#include "basilhall/journal/reader.h"

#include "basilhall/journal/batch_codec.h"
#include "basilhall/journal/checkpoint_codec.h"

#include <algorithm>
#include <utility>

namespace basilhall::journal
{

Reader::Reader(std::vector<ShardState> states, store::OperationIdSource &ids, ReaderOptions options)
    : m_plan(std::move(states))
    , m_ids(ids)
    , m_options(options)
{
    fillWindow();
}

void Reader::fillWindow()
{
    while (!m_isPlanExhausted && m_slots.size() < m_options.maxParallelReads
           && m_readyBytes < m_options.maxReadyBytes) {
        std::optional<ReadStep> step = m_plan.next();
        if (!step) {
            m_isPlanExhausted = true;
        } else if (isNeeded(*step)) {
            m_slots.emplace_back().step = std::move(*step);
        }
    }
}

bool Reader::isNeeded(const ReadStep &step) const
{
    return std::any_of(step.shards.begin(), step.shards.end(),
                       [this](std::uint32_t shard) { return !m_failures.contains(shard); });
}

std::vector<store::Operation> Reader::advance(Instant now)
{
    fillWindow();
    std::vector<store::Operation> operations;
    for (Slot &slot : m_slots) {
        if (slot.ready || slot.outstanding != 0 || now < slot.retryAt) {
            continue;
        }
        slot.outstanding = m_ids.next();
        operations.push_back({slot.outstanding, store::Read{slot.step.key}});
        ++m_reads;
    }
    return operations;
}

void Reader::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    const auto found = std::find_if(m_slots.begin(), m_slots.end(), [id](const Slot &slot) {
        return id != 0 && slot.outstanding == id;
    });
    if (found == m_slots.end()) {
        return;
    }
    Slot &slot = *found;
    slot.outstanding = 0;
    if (outcome && outcome.value().size() == 1) {
        decodeObject(slot, outcome.value().front());
    } else if (!outcome && outcome.error().kind() == ErrorKind::NotFound) {
        slot.ready = true;
        failShards(slot.step, store::corruptObject(slot.step.key, "is missing"));
    } else {
        slot.retryAt = now + slot.backoff.next();
    }
    moveReadyRecords();
}

void Reader::decodeObject(Slot &slot, const store::Object &object)
{
    slot.ready = true;
    if (slot.step.key.kind == kCheckpointKind) {
        Result<CheckpointPart> part = decodeCheckpointPart(slot.step.key, object.data);
        if (!part) {
            failShards(slot.step, part.error());
            return;
        }
        keepRecordsOfShards(slot, part.value().mutable_records());
        return;
    }
    Result<Batch> batch = decodeBatch(slot.step.key, object.data);
    if (!batch) {
        failShards(slot.step, batch.error());
    } else if (!batch.value().sealed_by().empty()) {
        failShards(slot.step, store::corruptObject(slot.step.key, "is a seal inside a range"));
    } else {
        keepRecordsOfShards(slot, batch.value().mutable_records());
    }
}

void Reader::keepRecordsOfShards(Slot &slot, google::protobuf::RepeatedPtrField<Record> *records)
{
    const auto &shards = slot.step.shards;
    for (Record &record : *records) {
        if (std::find(shards.begin(), shards.end(), record.shard()) != shards.end()) {
            slot.records.push_back(std::move(record));
        }
    }
}

void Reader::failShards(const ReadStep &step, const Error &error)
{
    for (const std::uint32_t shard : step.shards) {
        m_failures.emplace(shard, error);
    }
}

// Moves the records of finished reads at the front of the window to m_ready. Later reads that
// finish earlier remain in the window, which preserves the order.
void Reader::moveReadyRecords()
{
    while (!m_slots.empty() && m_slots.front().ready) {
        for (Record &record : m_slots.front().records) {
            if (!m_failures.contains(record.shard())) {
                m_readyBytes += encodedBytes(record);
                m_ready.push_back(std::move(record));
            }
        }
        m_slots.pop_front();
    }
}

std::optional<Instant> Reader::nextWake() const
{
    std::optional<Instant> wake;
    for (const Slot &slot : m_slots) {
        if (!slot.ready && slot.outstanding == 0 && (!wake || slot.retryAt < *wake)) {
            wake = slot.retryAt;
        }
    }
    return wake;
}

std::vector<Record> Reader::take()
{
    m_readyBytes = 0;
    std::vector<Record> taken = std::exchange(m_ready, {});
    fillWindow();
    return taken;
}

bool Reader::isDone() const
{
    return m_isPlanExhausted && m_slots.empty() && m_ready.empty();
}

} // namespace basilhall::journal
