#include "basilhall/owner/owner.h"

#include "basilhall/owner/internal/call_intake.h"
#include "basilhall/owner/internal/call_records.h"
#include "basilhall/owner/internal/call_runner.h"
#include "basilhall/owner/internal/owner_state.h"
#include "basilhall/owner/internal/program_lifecycle.h"
#include "basilhall/owner/internal/program_report.h"
#include "basilhall/owner/internal/replies.h"

#include <algorithm>

namespace basilhall::owner
{

using internal::Call;
using internal::CallPhase;
using internal::CallQueue;
using internal::CallRunner;
using internal::OwnedShard;
using internal::OwnerState;

class Owner::Private
{
public:
    Private(journal::Writer &writer, EndpointChooser chooseEndpoint, Incarnation self,
            OwnerOptions options)
        : state(writer, std::move(self), options)
        , runner(state, std::move(chooseEndpoint))
        , intake(state, runner)
        , lifecycle(state, runner)
        , records(state)
        , replies(state)
    {
    }

    Result<const program::Program *> programFor(const wire::ProgramRequest &request) const;
    CallQueue *queueOfDispatch(std::string_view dispatchId, CallPhase phase);
    void handleDurableRecords(Instant now);
    void pollResolvingCalls(Instant now);

    OwnerState state;
    CallRunner runner;
    internal::CallIntake intake;
    internal::ProgramLifecycle lifecycle;
    internal::CallRecords records;
    internal::Replies replies;
};

Owner::Owner(journal::Writer &writer, EndpointChooser chooseEndpoint, Incarnation self,
             OwnerOptions options)
    : d(std::make_unique<Private>(writer, std::move(chooseEndpoint), std::move(self), options))
{
}

Owner::~Owner() = default;

void Owner::setManifest(manifest::ManifestPtr manifest)
{
    d->state.manifest = std::move(manifest);
}

Result<void> Owner::acquireShard(std::uint32_t shard, std::uint64_t epoch,
                                 std::span<const journal::Record> records, Instant now)
{
    for (const journal::Record &record : records) {
        Result<void> applied = d->state.table.apply(record);
        if (!applied) {
            d->state.table.removeShard(shard);
            return applied;
        }
    }
    d->state.table.beginEpoch(shard, epoch);
    d->state.shards.insert_or_assign(shard, OwnedShard{epoch});
    d->lifecycle.recoverShard(shard, now);
    return success();
}

void Owner::beginRelease(std::uint32_t shard, Instant now)
{
    const auto found = d->state.shards.find(shard);
    if (found == d->state.shards.end() || found->second.releasing) {
        return;
    }
    found->second.releasing = true;
    for (auto &[program, queue] : d->state.callQueues) {
        if (queue.shard != shard) {
            continue;
        }
        for (const auto &call : queue.calls) {
            if (call->phase != CallPhase::Queued) {
                continue;
            }
            for (const CallTicket ticket : call->waitingTickets) {
                d->replies.reply(ticket, internal::notOwner(shard).withNotRun());
            }
            call->waitingTickets.clear();
        }
        std::erase_if(queue.calls,
                      [](const auto &call) { return call->phase == CallPhase::Queued; });
    }
    std::erase_if(d->state.callQueues,
                  [](const auto &entry) { return entry.second.calls.empty(); });
    d->lifecycle.freeIdleReservations(shard, now);
}

bool Owner::isIdle(std::uint32_t shard) const
{
    return std::none_of(d->state.callQueues.begin(), d->state.callQueues.end(),
                        [shard](const auto &entry) { return entry.second.shard == shard; });
}

void Owner::dropShard(std::uint32_t shard)
{
    for (auto it = d->state.callQueues.begin(); it != d->state.callQueues.end();) {
        CallQueue &queue = it->second;
        if (queue.shard != shard) {
            ++it;
            continue;
        }
        for (const auto &call : queue.calls) {
            const bool isNotRun = !call->hasStarted() && !call->mayHaveRun;
            const Error error =
                isNotRun ? internal::notOwner(shard).withNotRun() : internal::notOwner(shard);
            for (const CallTicket ticket : call->waitingTickets) {
                d->replies.reply(ticket, error.withRetryAfter(d->state.options.retryAfter));
            }
            if (call->phase == CallPhase::Dispatched && call->idempotent) {
                d->state.actions.emplace_back(CancelDispatch{call->dispatchId});
            }
            d->state.programOfDispatch.erase(call->dispatchId);
        }
        it = d->state.callQueues.erase(it);
    }
    for (const program::Program *program : d->state.table.programsOf(shard)) {
        d->state.lastActive.erase(program->id());
        d->state.cachingEndpoints.erase(program->id());
        d->state.programsWithUnwrittenRecord.erase(program->id());
    }
    d->state.table.removeShard(shard);
    d->state.shards.erase(shard);
}

bool Owner::owns(std::uint32_t shard) const
{
    const auto found = d->state.shards.find(shard);
    return found != d->state.shards.end() && !found->second.releasing;
}

std::uint64_t Owner::writtenBytes(std::uint32_t shard) const
{
    const auto found = d->state.shards.find(shard);
    return found == d->state.shards.end() ? 0 : found->second.writtenBytes;
}

std::uint64_t Owner::stateBytes(std::uint32_t shard) const
{
    std::uint64_t bytes = 0;
    for (const program::Program *program : d->state.table.programsOf(shard)) {
        bytes += program->turnBytes();
    }
    return bytes;
}

std::size_t Owner::callsInProgress() const
{
    std::size_t count = 0;
    for (const auto &[program, queue] : d->state.callQueues) {
        count += queue.calls.size();
    }
    return count;
}

void Owner::callArrived(CallTicket ticket, wire::CallRequest request, Instant now)
{
    d->intake.callArrived(ticket, std::move(request), now);
}

void Owner::callerGone(CallTicket ticket, Instant now)
{
    d->intake.callerGone(ticket, now);
}

Result<const program::Program *>
Owner::Private::programFor(const wire::ProgramRequest &request) const
{
    const ProgramId id(request.program_id());
    const std::uint32_t shard = state.shardOf(id);
    if (!state.shards.contains(shard)) {
        return internal::notOwner(shard).withNotRun().withRetryAfter(state.options.retryAfter);
    }
    const program::Program *program = state.table.find(id);
    // A program of another team is reported as nonexistent.
    if (program == nullptr || program->team() != TeamName(request.team())) {
        return internal::unknownProgram(request.program_id());
    }
    return program;
}

Result<std::string> Owner::programStatus(const wire::ProgramRequest &request) const
{
    BOOST_OUTCOME_TRY(const program::Program *program, d->programFor(request));
    return internal::statusDocument(d->state, *program);
}

Result<std::string> Owner::programHistory(const wire::ProgramRequest &request) const
{
    BOOST_OUTCOME_TRY(const program::Program *program, d->programFor(request));
    return internal::historyDocument(d->state, *program);
}

Result<void> Owner::endProgram(const wire::ProgramRequest &request, Instant now)
{
    BOOST_OUTCOME_TRY(const program::Program *program, d->programFor(request));
    return d->lifecycle.end(*program, "ended by its team", now);
}

CallQueue *Owner::Private::queueOfDispatch(std::string_view dispatchId, CallPhase phase)
{
    const auto program = state.programOfDispatch.find(std::string(dispatchId));
    if (program == state.programOfDispatch.end()) {
        return nullptr;
    }
    const auto queue = state.callQueues.find(program->second);
    if (queue == state.callQueues.end()) {
        return nullptr;
    }
    const Call *call = queue->second.current();
    const bool isMatch = call != nullptr && call->dispatchId == dispatchId && call->phase == phase;
    return isMatch ? &queue->second : nullptr;
}

void Owner::dispatchStreamed(std::string_view dispatchId)
{
    if (CallQueue *queue = d->queueOfDispatch(dispatchId, CallPhase::Dispatched)) {
        queue->current()->hasStreamed = true;
    }
}

void Owner::dispatchEnded(std::string_view dispatchId, const Result<wire::Answer> &result,
                          Instant now)
{
    CallQueue *const queue = d->queueOfDispatch(dispatchId, CallPhase::Dispatched);
    if (queue == nullptr) {
        return;
    }
    const ProgramId program = queue->program;
    d->runner.dispatchEnded(*queue, result, now);
    d->runner.startNext(program, now);
}

void Owner::resolved(std::string_view dispatchId, const Result<wire::ResolveReply> &reply,
                     Instant now)
{
    CallQueue *const queue = d->queueOfDispatch(dispatchId, CallPhase::Resolving);
    if (queue == nullptr) {
        return;
    }
    const ProgramId program = queue->program;
    d->runner.resolved(*queue, reply, now);
    d->runner.startNext(program, now);
}

void Owner::cachedProgramsReported(const Address &agent, std::span<const ProgramId> programs)
{
    for (const ProgramId &id : programs) {
        const std::uint32_t shard = d->state.shardOf(id);
        const auto owned = d->state.shards.find(shard);
        const program::Program *program = d->state.table.find(id);
        const bool isAlive = program != nullptr && !program->ended();
        if (owned == d->state.shards.end() || isAlive) {
            continue;
        }
        wire::ReleaseRequest request;
        request.set_program_id(id.value());
        request.set_shard(shard);
        request.set_epoch(owned->second.epoch);
        d->state.actions.emplace_back(ReleaseProgram{agent, std::move(request)});
    }
}

void Owner::advance(Instant now)
{
    d->handleDurableRecords(now);
    d->intake.expireDeadlines(now);
    d->intake.refuseDuringOutage(now);
    d->pollResolvingCalls(now);
    d->lifecycle.sweep(now);
}

void Owner::Private::handleDurableRecords(Instant now)
{
    const journal::RecordTicket durable = state.writer.durableTicket();
    while (!state.awaitedRecords.empty() && state.awaitedRecords.front().first <= durable) {
        const auto [ticket, program] = state.awaitedRecords.front();
        state.awaitedRecords.pop_front();
        const auto queue = state.callQueues.find(program);
        if (queue == state.callQueues.end()) {
            continue;
        }
        const Call *call = queue->second.current();
        if (call != nullptr && call->awaitedRecord == ticket) {
            runner.recordDurable(queue->second, now);
            runner.startNext(program, now);
        }
    }
    const std::set<ProgramId> programsToRetry = state.programsWithUnwrittenRecord;
    for (const ProgramId &program : programsToRetry) {
        records.retrySettlement(state.callQueues.at(program), now);
    }
}

void Owner::Private::pollResolvingCalls(Instant now)
{
    for (auto &[program, queue] : state.callQueues) {
        if (queue.current() != nullptr) {
            runner.pollResolve(queue, now);
        }
    }
}

std::vector<Action> Owner::takeActions()
{
    return std::exchange(d->state.actions, {});
}

const program::ProgramTable &Owner::programs() const
{
    return d->state.table;
}

} // namespace basilhall::owner
