// Reads the whole audit trail from the object API.
//
//     TrailReader reader(ids);
//     // ... advance() and onOutcome() until isFinished()
//     for (const Record &record : reader.records()) { ... }
#pragma once

#include "basilhall/audit/record.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <map>
#include <optional>
#include <vector>

namespace basilhall::audit
{

// Not thread-safe. Makes one read for each bucket, and further ones while the object API is away.
class TrailReader
{
public:
    // `ids` must outlive the reader.
    explicit TrailReader(store::OperationIdSource &ids);

    // Returns the operations to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Takes the outcome of an operation; ignores numbers that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns when advance() has something to do without a further event.
    std::optional<Instant> nextWake() const;

    bool isFinished() const { return m_wanted.empty() && m_outstanding.empty(); }
    // Only after isFinished(); ordered by time.
    std::vector<Record> records() const;
    // One for each object that cannot be read.
    const std::vector<Error> &faults() const { return m_faults; }

private:
    store::OperationIdSource &m_ids;
    // Numbers of the buckets to read.
    std::vector<std::size_t> m_wanted;
    std::map<store::OperationId, std::size_t> m_outstanding;
    std::vector<Record> m_records;
    std::vector<Error> m_faults;
    Instant m_retryAt = Instant::min();
    store::Backoff m_backoff;
};

} // namespace basilhall::audit
