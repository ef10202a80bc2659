// Seals the journal of another incarnation, after which that incarnation can make no further record
// durable.
//
//     Sealer sealer(dead, firstNumber, self, ids);
//     // ... advance() and onOutcome() until
//     if (const auto last = sealer.lastNumber()) {
//         // The journal is complete in the batches up to *last.
//     }
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <optional>
#include <vector>

namespace basilhall::journal
{

// Not thread-safe. Finds the end by exponential and then binary search, 2 log2(n) reads for n
// batches, and creates the seal there. An existing seal of another process is accepted. A damaged
// batch counts as a batch; the reader later fails the shards that need it. Failed operations are
// retried until they succeed.
class Sealer
{
public:
    // Every batch of `sealed` below `first` must have become durable, and no batch from `first` on
    // may have been removed. To ensure this, pass the highest first number of the ranges that
    // refer to the journal in the shard objects, and write the consequences of the seal with
    // conditional updates of these objects. `ids` must outlive the sealer.
    Sealer(Incarnation sealed, BatchNumber first, Incarnation self, store::OperationIdSource &ids);

    // Returns the operation to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Processes the outcome of an operation; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns when advance() must be called next, or nothing if only another event can give it
    // work.
    std::optional<Instant> nextWake() const;

    const Incarnation &sealed() const { return m_sealed; }
    // Number of the last batch before the seal, once the journal is sealed; first - 1 if none.
    std::optional<BatchNumber> lastNumber() const { return m_lastNumber; }

private:
    bool isEndKnown() const { return m_firstMissing && *m_firstMissing == m_lastPresent + 1; }
    BatchNumber nextProbe() const;
    void onProbe(const store::Outcome &outcome, Instant now);
    void onSealCreated(const store::Outcome &outcome, Instant now);
    void onBatch(const store::Object &object);
    void scheduleRetry(Instant now);

    Incarnation m_sealed;
    Incarnation m_self;
    store::OperationIdSource &m_ids;
    // Highest number of a batch known to have been created, and lowest number known not to exist
    // yet.
    BatchNumber m_lastPresent;
    std::optional<BatchNumber> m_firstMissing;
    BatchNumber m_probeStep = 1;
    BatchNumber m_probe = 0;
    bool m_creating = false;
    store::OperationId m_outstanding = 0;
    Instant m_retryAt = Instant::min();
    store::Backoff m_backoff;
    std::optional<BatchNumber> m_lastNumber;
};

} // namespace basilhall::journal
