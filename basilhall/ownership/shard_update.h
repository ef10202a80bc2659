// One conditional write of a shard object, retried after lost answers until its result is known.
//
//     ShardUpdate update(newState, view.version, ids);
//     // ... advance() and onOutcome() until
//     if (update.result() == ShardUpdate::Result::Applied) { ... }
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/ownership/shard_codec.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <optional>
#include <vector>

namespace basilhall::ownership
{

// Not thread-safe. The same write is retried until it succeeds or conflicts; after a conflict the
// object is read to see which write succeeded. A refused write can never take effect later, because
// the expected version no longer exists.
class ShardUpdate
{
public:
    enum class Result {
        Pending,
        // The object holds, or at one time held, the new state: the write took effect.
        Applied,
        // The object holds another state or is missing; see current().
        Refused,
    };

    // Replaces the object if its version is `expected`, or creates it if `expected` is empty. No
    // other process may write the same content as `target`. `ids` must outlive the update.
    ShardUpdate(ShardState target, std::optional<store::ResourceVersion> expected,
                store::OperationIdSource &ids);

    // Returns the operation to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Takes the outcome of an operation; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns the time at which advance() must be called if no outcome arrives before.
    std::optional<Instant> nextWake() const;

    Result result() const { return m_result; }
    const ShardState &target() const { return m_target; }
    // The object as last written or read, once the result is known; empty if it is missing.
    const std::optional<store::Object> &current() const { return m_current; }

private:
    void onWritten(const store::Outcome &outcome, Instant now);
    void onRead(const store::Outcome &outcome, Instant now);
    void finish(Result result, std::optional<store::Object> current);

    ShardState m_target;
    std::string m_data;
    store::ObjectKey m_key;
    std::optional<store::ResourceVersion> m_expected;
    store::OperationIdSource &m_ids;
    bool m_reading = false;
    store::OperationId m_outstanding = 0;
    Instant m_retryAt = Instant::min();
    store::Backoff m_backoff;
    Result m_result = Result::Pending;
    std::optional<store::Object> m_current;
};

} // namespace basilhall::ownership
