#include "basilhall/manifest/loader.h"

#include "basilhall/store/envelope.h"

#include <limits>
#include <unordered_map>

namespace basilhall::manifest
{

namespace
{

constexpr std::size_t kRootIndex = std::numeric_limits<std::size_t>::max();

bool isMissing(const store::Outcome &outcome)
{
    return !outcome && outcome.error().kind() == ErrorKind::NotFound;
}

// Returns the payloads of `held` by digest.
std::unordered_map<std::string, std::string> payloadsOf(const std::optional<Candidate> &held)
{
    std::unordered_map<std::string, std::string> payloads;
    if (held) {
        for (Chunk &chunk : splitIntoChunks(held->manifest()->content())) {
            payloads.emplace(std::move(chunk.digest), std::move(chunk.payload));
        }
    }
    return payloads;
}

} // namespace

Loader::Loader(store::OperationIdSource &ids, std::optional<Candidate> held)
    : m_ids(ids)
    , m_held(std::move(held))
{
}

std::uint64_t Loader::heldGeneration() const
{
    return m_held ? m_held->generation() : 0;
}

std::vector<store::Operation> Loader::advance(Instant now)
{
    std::vector<store::Operation> operations;
    if (isFinished() || now < m_retryAt) {
        return operations;
    }
    if (!isReadingChunks()) {
        if (m_outstanding.empty()) {
            const store::OperationId id = m_ids.next();
            m_outstanding.emplace(id, kRootIndex);
            operations.push_back({id, store::Read{rootKey()}});
        }
        return operations;
    }
    while (!m_chunksToRead.empty() && m_outstanding.size() < kMaxReadsAtOnce) {
        const std::size_t index = m_chunksToRead.back();
        m_chunksToRead.pop_back();
        const store::OperationId id = m_ids.next();
        m_outstanding.emplace(id, index);
        operations.push_back({id, store::Read{chunkKey(m_root->chunks[index])}});
    }
    return operations;
}

std::optional<Instant> Loader::nextWake() const
{
    const bool hasWork = isReadingChunks() ? !m_chunksToRead.empty() : m_outstanding.empty();
    if (isFinished() || !hasWork || m_outstanding.size() >= kMaxReadsAtOnce) {
        return std::nullopt;
    }
    return m_retryAt;
}

void Loader::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    const auto found = m_outstanding.find(id);
    if (found == m_outstanding.end()) {
        return;
    }
    const std::size_t index = found->second;
    m_outstanding.erase(found);
    m_isStoreUnavailable = !outcome && outcome.error().kind() == ErrorKind::StoreUnavailable;
    if (index == kRootIndex) {
        onRoot(outcome, now);
    } else {
        onChunk(index, outcome, now);
    }
}

void Loader::onRoot(const store::Outcome &outcome, Instant now)
{
    if (isMissing(outcome)) {
        m_rootVersion.clear();
        finish(std::optional<Candidate>());
        return;
    }
    if (!outcome || outcome.value().size() != 1) {
        retryLater(now);
        return;
    }
    const store::Object &object = outcome.value().front();
    m_rootVersion = object.version;
    const Result<std::string_view> payload = store::openEnvelope(object.key, object.data);
    if (!payload) {
        finish(payload.error());
        return;
    }
    Result<Root> root = decodeRoot(payload.value());
    if (!root) {
        finish(store::corruptObject(object.key, root.error().message()));
        return;
    }
    m_backoff.reset();
    beginChunks(std::move(root).value());
}

void Loader::beginChunks(Root root)
{
    if (root.generation <= heldGeneration()) {
        finish(std::optional<Candidate>());
        return;
    }
    std::unordered_map<std::string, std::string> held = payloadsOf(m_held);
    m_root = std::move(root);
    m_chunks.clear();
    m_chunksToRead.clear();
    for (std::size_t i = 0; i < m_root->chunks.size(); ++i) {
        const std::string &digest = m_root->chunks[i].digest;
        const auto found = held.find(digest);
        if (found == held.end()) {
            m_chunksToRead.push_back(i);
            m_chunks.push_back({digest, ""});
        } else {
            m_chunks.push_back({digest, std::move(found->second)});
        }
    }
    finishIfComplete();
}

void Loader::onChunk(std::size_t index, const store::Outcome &outcome, Instant now)
{
    if (isFinished() || !isReadingChunks()) {
        return;
    }
    if (isMissing(outcome)) {
        readRootAgain(index, now);
        return;
    }
    if (!outcome || outcome.value().size() != 1) {
        m_chunksToRead.push_back(index);
        retryLater(now);
        return;
    }
    const store::Object &object = outcome.value().front();
    const Result<std::string_view> payload = store::openEnvelope(object.key, object.data);
    if (!payload) {
        finish(payload.error());
        return;
    }
    m_backoff.reset();
    m_chunks[index].payload = payload.value();
    finishIfComplete();
}

// A newer publication may have removed the chunk, since it removes the chunks that its predecessor
// retired. If the root has not changed in the meantime, the missing chunk means damage.
void Loader::readRootAgain(std::size_t missing, Instant now)
{
    if (m_incompleteRootVersion == m_rootVersion) {
        finish(store::corruptObject(chunkKey(m_root->chunks[missing]), "is missing"));
        return;
    }
    m_incompleteRootVersion = m_rootVersion;
    m_root.reset();
    m_outstanding.clear();
    retryLater(now);
}

void Loader::retryLater(Instant now)
{
    m_retryAt = now + m_backoff.next();
}

void Loader::finish(Result<std::optional<Candidate>> result)
{
    m_result = std::move(result);
    m_outstanding.clear();
}

void Loader::finishIfComplete()
{
    if (!m_chunksToRead.empty() || !m_outstanding.empty()) {
        return;
    }
    Result<Candidate> candidate = Candidate::make(std::move(*m_root), m_chunks);
    if (!candidate) {
        finish(candidate.error());
        return;
    }
    finish(std::optional<Candidate>(std::move(candidate).value()));
}

} // namespace basilhall::manifest
