#include "basilhall/owner/internal/owner_state.h"

#include "basilhall/ownership/shard_id.h"

namespace basilhall::owner::internal
{

Error notOwner(std::uint32_t shard)
{
    return Error(ErrorKind::NotOwner,
                 "shard " + std::to_string(shard) + " is owned by another host");
}

Error unknownProgram(const std::string &program)
{
    return Error(ErrorKind::NotFound, "program \"" + program + "\" does not exist").withNotRun();
}

void OwnerState::addTicket(CallTicket ticket, const ProgramId &program, Instant deadline)
{
    pendingTickets.emplace(ticket, PendingTicket{program, deadline});
    deadlines.emplace(deadline, ticket);
}

void OwnerState::removeTicket(CallTicket ticket)
{
    const auto found = pendingTickets.find(ticket);
    if (found != pendingTickets.end()) {
        deadlines.erase({found->second.deadline, ticket});
        pendingTickets.erase(found);
    }
}

std::uint32_t OwnerState::shardOf(const ProgramId &program) const
{
    return ownership::shardOf(program, manifest->shardCount());
}

Result<journal::RecordTicket> OwnerState::append(const ProgramId &program, journal::Record record,
                                                 Instant now)
{
    const std::uint32_t shard = shardOf(program);
    record.set_shard(shard);
    OwnedShard &owned = shards.at(shard);
    record.set_epoch(owned.epoch);
    BOOST_OUTCOME_TRY(const journal::RecordTicket ticket, writer.append(record, now));
    owned.writtenBytes += record.ByteSizeLong();
    BOOST_OUTCOME_TRY(table.apply(record));
    return ticket;
}

bool OwnerState::isOutage(Instant now) const
{
    const auto since = writer.oldestPendingSince();
    return since && now - *since > options.outageAfter;
}

Error OwnerState::notRunError(ErrorKind kind, std::string_view message) const
{
    return Error(kind, message).withNotRun().withRetryAfter(options.retryAfter);
}

void OwnerState::release(const ProgramId &program)
{
    const auto found = cachingEndpoints.find(program);
    if (found == cachingEndpoints.end()) {
        return;
    }
    const std::uint32_t shard = shardOf(program);
    for (const EndpointName &name : found->second) {
        const manifest::Endpoint *endpoint = manifest->endpoint(name);
        const auto owned = shards.find(shard);
        if (endpoint == nullptr || owned == shards.end()) {
            continue;
        }
        wire::ReleaseRequest request;
        request.set_program_id(program.value());
        request.set_shard(shard);
        request.set_epoch(owned->second.epoch);
        actions.emplace_back(ReleaseProgram{endpoint->agent, std::move(request)});
    }
    cachingEndpoints.erase(found);
}

} // namespace basilhall::owner::internal
