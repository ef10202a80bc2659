// Reads the published manifest from the object API: the root, then the chunks that are missing
// locally.
//
//     Loader loader(ids, acceptor.current());
//     // ... advance() and onOutcome() until
//     if (loader.isFinished()) { use(loader.result()); }
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/manifest/candidate.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilhall::manifest
{

// Not thread-safe. Runs at most kMaxReadsAtOnce operations concurrently, retries during outages for
// as long as advance() is called, and reads the root again if a chunk was removed in the meantime.
class Loader
{
public:
    static constexpr std::size_t kMaxReadsAtOnce = 8;

    // `held` is the candidate in force in the process, if any; `ids` must outlive the loader.
    Loader(store::OperationIdSource &ids, std::optional<Candidate> held);

    // Returns the operations to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Handles the outcome of an operation. Ignores IDs that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns the time of the next call of advance() that is due without a further event.
    std::optional<Instant> nextWake() const;

    bool isFinished() const { return m_result.has_value(); }
    // Only after isFinished(). Nothing if the published manifest is not newer than the held one
    // or if there is none; Corrupt names the damaged object.
    const Result<std::optional<Candidate>> &result() const { return *m_result; }
    // Version of the root object that was read; empty if there is none.
    const store::ResourceVersion &rootVersion() const { return m_rootVersion; }
    // True while the last answer of the object API was that it is unavailable.
    bool isStoreUnavailable() const { return m_isStoreUnavailable; }

private:
    std::uint64_t heldGeneration() const;
    bool isReadingChunks() const { return m_root.has_value(); }
    void onRoot(const store::Outcome &outcome, Instant now);
    void beginChunks(Root root);
    void onChunk(std::size_t index, const store::Outcome &outcome, Instant now);
    void readRootAgain(std::size_t missing, Instant now);
    void retryLater(Instant now);
    void finish(Result<std::optional<Candidate>> result);
    void finishIfComplete();

    store::OperationIdSource &m_ids;
    std::optional<Candidate> m_held;
    std::optional<Root> m_root;
    store::ResourceVersion m_rootVersion;
    // One per chunk name in the root; the payload is empty until the chunk has been read.
    std::vector<Chunk> m_chunks;
    // Indices of chunks to read.
    std::vector<std::size_t> m_chunksToRead;
    // Index of the chunk that each outstanding operation reads; kRootIndex for the root.
    std::map<store::OperationId, std::size_t> m_outstanding;
    // Version of the last root that had a missing chunk.
    std::optional<store::ResourceVersion> m_incompleteRootVersion;
    Instant m_retryAt = Instant::min();
    store::Backoff m_backoff;
    bool m_isStoreUnavailable = false;
    std::optional<Result<std::optional<Candidate>>> m_result;
};

} // namespace basilhall::manifest
