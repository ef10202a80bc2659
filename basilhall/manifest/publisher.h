// Publishes a manifest: new chunks first, then the root by conditional update.
//
//     Publisher publisher(request, ids);
//     // ... advance() and onOutcome() until isFinished()
//     if (!publisher.result()) {
//         // Conflict: the message lists the publications in between.
//     }
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/manifest/loader.h"
#include "basilhall/manifest/publish_request.h"
#include "basilhall/manifest/published.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <map>
#include <optional>
#include <vector>

namespace basilhall::manifest
{

// Not thread-safe. Exactly one of several concurrent publishers succeeds. A write whose response
// was lost is repeated with the same precondition, and its outcome is determined by reading back.
//
// Chunks that the published root retired are removed before the new root is written: nothing
// refers to them, and no publisher reuses their names. A publisher that loses the race removes
// the chunks that it created, unless the published root refers to them. A publisher that crashes
// leaves its chunks behind.
class Publisher
{
public:
    static constexpr std::size_t kMaxWritesAtOnce = 8;

    // `ids` must outlive the publisher.
    Publisher(PublishRequest request, store::OperationIdSource &ids);

    // Returns the operations to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Handles the outcome of an operation. Ignores IDs that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns the time of the next call of advance() that is due without a further event.
    std::optional<Instant> nextWake() const;

    bool isFinished() const { return m_result.has_value() && m_phase == Phase::Done; }
    // Only after isFinished(). Conflict if another publication came in between, InvalidRequest if
    // the change is not allowed, Corrupt if the published manifest is damaged, StoreUnavailable
    // with notRun() if the object API stayed unavailable, OutcomeUnknown if it became unavailable
    // after the root was sent.
    const Result<Published> &result() const { return *m_result; }

private:
    enum class Phase { Loading, WritingChunks, WritingRoot, ReadingBack, CleaningUp, Done };

    // A request of the phase WritingChunks or CleaningUp.
    struct Task {
        store::Request request;
        // For the creation of a chunk that must exist before the root is written.
        bool isNeeded = false;
        ChunkName chunk;
    };

    void onLoaded();
    void plan(const std::optional<Candidate> &base);
    bool checkAgainst(const Content &inForce);
    void planRemovals(const std::vector<ChunkName> &names);
    std::vector<store::Operation> sendTasks();
    store::Operation sendRoot();
    void onTask(const Task &task, const store::Outcome &outcome, Instant now);
    void onRootWritten(const store::Outcome &outcome, Instant now);
    void onReadBack(const store::Outcome &outcome, Instant now);
    void resolveRootWrite(const Root &current);
    void onLostRace(const Root &current);
    void giveUp();
    void retryLater(Instant now);
    void finish(Result<Published> result);
    void finishTasks();
    Error conflictWith(const Root &current) const;

    PublishRequest m_request;
    store::OperationIdSource &m_ids;
    Loader m_loader;
    Phase m_phase = Phase::Loading;
    // Generation and version of the published root; 0 and empty if there is none.
    std::uint64_t m_baseGeneration = 0;
    store::ResourceVersion m_baseVersion;
    Root m_root;
    Published m_published;
    std::vector<Task> m_tasks;
    std::vector<ChunkName> m_created;
    std::map<store::OperationId, Task> m_outstandingTasks;
    store::OperationId m_outstandingRoot = 0;
    bool m_hasSentRoot = false;
    std::optional<Instant> m_deadline;
    Instant m_retryAt = Instant::min();
    store::Backoff m_backoff;
    std::optional<Result<Published>> m_result;
};

} // namespace basilhall::manifest
