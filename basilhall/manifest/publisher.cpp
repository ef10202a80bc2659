#include "basilhall/manifest/publisher.h"

#include "basilhall/manifest/internal/publication_plan.h"
#include "basilhall/manifest/parser.h"
#include "basilhall/store/envelope.h"

#include <algorithm>
#include <set>

namespace basilhall::manifest
{

namespace
{

bool isKind(const store::Outcome &outcome, ErrorKind kind)
{
    return !outcome && outcome.error().kind() == kind;
}

Result<Root> readRoot(const store::Outcome &outcome)
{
    const store::Object &object = outcome.value().front();
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(object.key, object.data));
    return decodeRoot(payload);
}

} // namespace

Publisher::Publisher(PublishRequest request, store::OperationIdSource &ids)
    : m_request(std::move(request))
    , m_ids(ids)
    , m_loader(ids, std::nullopt)
{
}

std::vector<store::Operation> Publisher::advance(Instant now)
{
    if (!m_deadline) {
        m_deadline = now + m_request.patience;
    }
    if (m_phase != Phase::Done && now >= *m_deadline) {
        giveUp();
    }
    if (m_phase == Phase::Loading) {
        return m_loader.advance(now);
    }
    if (now < m_retryAt || m_outstandingRoot != 0) {
        return {};
    }
    switch (m_phase) {
    case Phase::WritingChunks:
    case Phase::CleaningUp:
        return sendTasks();
    case Phase::WritingRoot:
        return {sendRoot()};
    case Phase::ReadingBack:
        m_outstandingRoot = m_ids.next();
        return {{m_outstandingRoot, store::Read{rootKey()}}};
    case Phase::Loading:
    case Phase::Done:
        return {};
    }
    return {};
}

std::optional<Instant> Publisher::nextWake() const
{
    if (m_phase == Phase::Done) {
        return std::nullopt;
    }
    if (!m_deadline) {
        return Instant::min();
    }
    if (m_phase == Phase::Loading) {
        return std::min(m_loader.nextWake().value_or(*m_deadline), *m_deadline);
    }
    const bool isWaiting = m_outstandingRoot != 0
        || (m_tasks.empty() && !m_outstandingTasks.empty())
        || m_outstandingTasks.size() >= kMaxWritesAtOnce;
    return isWaiting ? *m_deadline : std::min(m_retryAt, *m_deadline);
}

void Publisher::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    if (m_phase == Phase::Done) {
        return;
    }
    if (m_phase == Phase::Loading) {
        m_loader.onOutcome(id, outcome, now);
        if (m_loader.isFinished()) {
            onLoaded();
        }
        return;
    }
    const auto found = m_outstandingTasks.find(id);
    if (found != m_outstandingTasks.end()) {
        const Task task = std::move(found->second);
        m_outstandingTasks.erase(found);
        onTask(task, outcome, now);
        return;
    }
    if (id != m_outstandingRoot || id == 0) {
        return;
    }
    m_outstandingRoot = 0;
    if (m_phase == Phase::WritingRoot) {
        onRootWritten(outcome, now);
    } else if (m_phase == Phase::ReadingBack) {
        onReadBack(outcome, now);
    }
}

void Publisher::onLoaded()
{
    m_baseVersion = m_loader.rootVersion();
    const Result<std::optional<Candidate>> &loaded = m_loader.result();
    if (loaded) {
        plan(loaded.value());
        return;
    }
    if (!m_request.replaceDamaged || !m_request.fromGeneration) {
        finish(loaded.error());
        return;
    }
    m_baseGeneration = *m_request.fromGeneration;
    plan(std::nullopt);
}

void Publisher::plan(const std::optional<Candidate> &base)
{
    if (base) {
        m_baseGeneration = base->generation();
    }
    if (m_request.fromGeneration && *m_request.fromGeneration != m_baseGeneration) {
        finish(base ? conflictWith(base->root())
                    : Error(ErrorKind::Conflict, "no manifest has been published").withNotRun());
        return;
    }
    if (base && !checkAgainst(base->manifest()->content())) {
        return;
    }
    internal::PublicationPlan plan = internal::planPublication(m_request, base, m_baseGeneration);
    m_root = std::move(plan.root);
    m_published = std::move(plan.published);
    for (const internal::NewChunk &chunk : plan.newChunks) {
        m_tasks.push_back({store::Create{chunkKey(chunk.name), store::sealEnvelope(chunk.payload)},
                           true, chunk.name});
    }
    planRemovals(plan.removals);
    m_phase = Phase::WritingChunks;
}

// Finishes and returns false if the change is not allowed or the content is unchanged.
bool Publisher::checkAgainst(const Content &inForce)
{
    const config::Faults faults = checkChange("manifest", inForce, m_request.content);
    if (!faults.empty()) {
        finish(Error(ErrorKind::InvalidRequest, toString(faults.front())).withNotRun());
        return false;
    }
    if (inForce != m_request.content) {
        return true;
    }
    m_published.generation = m_baseGeneration;
    m_published.isUnchanged = true;
    finish(m_published);
    return false;
}

void Publisher::planRemovals(const std::vector<ChunkName> &names)
{
    for (const ChunkName &name : names) {
        m_tasks.push_back({store::Remove{chunkKey(name)}, false, name});
    }
}

std::vector<store::Operation> Publisher::sendTasks()
{
    std::vector<store::Operation> operations;
    while (!m_tasks.empty() && m_outstandingTasks.size() < kMaxWritesAtOnce) {
        Task task = std::move(m_tasks.back());
        m_tasks.pop_back();
        const store::OperationId id = m_ids.next();
        operations.push_back({id, task.request});
        m_outstandingTasks.emplace(id, std::move(task));
    }
    if (m_outstandingTasks.empty()) {
        finishTasks();
    }
    return operations;
}

void Publisher::onTask(const Task &task, const store::Outcome &outcome, Instant now)
{
    // A chunk that exists already has the same content, since its name is its digest.
    const bool isDone = outcome || isKind(outcome, ErrorKind::StoreConflict);
    if (!task.isNeeded) {
        if (!isDone && !isKind(outcome, ErrorKind::NotFound) && m_phase == Phase::WritingChunks) {
            m_root.retired.push_back(task.chunk);
        }
    } else if (isDone) {
        m_backoff.reset();
        m_created.push_back(task.chunk);
    } else if (isKind(outcome, ErrorKind::StoreUnavailable)) {
        m_tasks.push_back(task);
        retryLater(now);
        return;
    } else {
        finish(outcome.error());
        return;
    }
    finishTasks();
}

void Publisher::finishTasks()
{
    if (!m_tasks.empty() || !m_outstandingTasks.empty()) {
        return;
    }
    if (m_phase == Phase::WritingChunks) {
        m_phase = Phase::WritingRoot;
    } else if (m_phase == Phase::CleaningUp) {
        m_phase = Phase::Done;
    }
}

store::Operation Publisher::sendRoot()
{
    m_outstandingRoot = m_ids.next();
    m_hasSentRoot = true;
    std::string data = store::sealEnvelope(encodeRoot(m_root));
    if (m_baseVersion.empty()) {
        return {m_outstandingRoot, store::Create{rootKey(), std::move(data)}};
    }
    return {m_outstandingRoot, store::Update{rootKey(), std::move(data), m_baseVersion}};
}

void Publisher::onRootWritten(const store::Outcome &outcome, Instant now)
{
    if (outcome) {
        finish(m_published);
        return;
    }
    const bool needsReadBack = isKind(outcome, ErrorKind::StoreUnavailable)
        || isKind(outcome, ErrorKind::StoreConflict) || isKind(outcome, ErrorKind::NotFound);
    if (!needsReadBack) {
        finish(outcome.error());
        return;
    }
    m_phase = Phase::ReadingBack;
    if (isKind(outcome, ErrorKind::StoreUnavailable)) {
        retryLater(now);
    }
}

void Publisher::onReadBack(const store::Outcome &outcome, Instant now)
{
    const bool isAbsent = isKind(outcome, ErrorKind::NotFound);
    if (isAbsent && m_baseVersion.empty()) {
        m_phase = Phase::WritingRoot;
        retryLater(now);
        return;
    }
    if (isAbsent) {
        finish(Error(ErrorKind::Conflict, "the manifest root was removed during the publication"));
        return;
    }
    if (!outcome || outcome.value().size() != 1) {
        retryLater(now);
        return;
    }
    if (outcome.value().front().version == m_baseVersion) {
        // The write has not taken effect yet. It still can, but with the same precondition as the
        // retry, so at most one of the two succeeds.
        m_phase = Phase::WritingRoot;
        retryLater(now);
        return;
    }
    const Result<Root> current = readRoot(outcome);
    if (!current) {
        finish(store::corruptObject(rootKey(), current.error().message()));
        return;
    }
    resolveRootWrite(current.value());
}

void Publisher::resolveRootWrite(const Root &current)
{
    const auto isThisRun = [this](const Publication &publication) {
        return publication.publicationId == m_request.publicationId;
    };
    if (std::any_of(current.history.begin(), current.history.end(), isThisRun)) {
        finish(m_published);
        return;
    }
    onLostRace(current);
}

void Publisher::onLostRace(const Root &current)
{
    m_result = conflictWith(current);
    const std::set<ChunkName> used(current.chunks.begin(), current.chunks.end());
    std::vector<ChunkName> unused;
    std::copy_if(m_created.begin(), m_created.end(), std::back_inserter(unused),
                 [&used](const ChunkName &name) { return !used.contains(name); });
    planRemovals(unused);
    m_phase = Phase::CleaningUp;
    finishTasks();
}

void Publisher::giveUp()
{
    if (m_result) {
        m_phase = Phase::Done;
        return;
    }
    if (m_hasSentRoot) {
        finish(Error(ErrorKind::OutcomeUnknown,
                     "the object API does not answer; generation "
                         + std::to_string(m_published.generation)
                         + " may have been published. Run status, then publish again"));
        return;
    }
    finish(
        Error(ErrorKind::StoreUnavailable, "the object API does not answer; nothing was published")
            .withNotRun());
}

void Publisher::retryLater(Instant now)
{
    m_retryAt = now + m_backoff.next();
}

void Publisher::finish(Result<Published> result)
{
    m_result = std::move(result);
    m_phase = Phase::Done;
}

Error Publisher::conflictWith(const Root &current) const
{
    const std::uint64_t from = m_request.fromGeneration.value_or(m_baseGeneration);
    std::string message = "the manifest was made from generation " + std::to_string(from)
        + ", but generation " + std::to_string(current.generation)
        + " is published; nothing was changed. In between:";
    for (const Publication &publication : current.history) {
        if (publication.generation <= from) {
            break;
        }
        for (const std::string &line : describe(publication)) {
            message += "\n  " + line;
        }
    }
    return Error(ErrorKind::Conflict, message).withNotRun();
}

} // namespace basilhall::manifest
