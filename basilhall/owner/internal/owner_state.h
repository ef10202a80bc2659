// State that the internal classes of an owner share. Not API.
#pragma once

#include "basilhall/journal/writer.h"
#include "basilhall/manifest/manifest.h"
#include "basilhall/owner/action.h"
#include "basilhall/owner/internal/call.h"
#include "basilhall/owner/owner_options.h"
#include "basilhall/program/program_table.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilhall::owner::internal
{

// The calls of one program: the one in progress first, then those that wait for their turn.
struct CallQueue {
    ProgramId program;
    std::uint32_t shard = 0;
    std::deque<std::unique_ptr<Call>> calls;

    // Returns the call in progress, or null.
    Call *current() const
    {
        const bool hasCurrent = !calls.empty() && calls.front()->phase != CallPhase::Queued;
        return hasCurrent ? calls.front().get() : nullptr;
    }
};

struct OwnedShard {
    std::uint64_t epoch = 0;
    bool releasing = false;
    std::uint64_t writtenBytes = 0;
};

// The program and the deadline of the call that a caller waits for.
struct PendingTicket {
    ProgramId program;
    Instant deadline;
};

// Error for a shard that another host owns.
Error notOwner(std::uint32_t shard);
Error unknownProgram(const std::string &program);

struct OwnerState {
    OwnerState(journal::Writer &journalWriter, Incarnation incarnation, OwnerOptions ownerOptions)
        : writer(journalWriter)
        , self(std::move(incarnation))
        , options(ownerOptions)
    {
    }

    journal::Writer &writer;
    const Incarnation self;
    const OwnerOptions options;
    manifest::ManifestPtr manifest;
    program::ProgramTable table;
    std::unordered_map<std::uint32_t, OwnedShard> shards;
    std::unordered_map<ProgramId, CallQueue> callQueues;
    std::unordered_map<ProgramId, Instant> lastActive;
    // Endpoints where a program may hold memory.
    std::unordered_map<ProgramId, std::set<EndpointName>> cachingEndpoints;
    std::unordered_map<CallTicket, PendingTicket> pendingTickets;
    std::unordered_map<std::string, ProgramId> programOfDispatch;
    std::set<std::pair<Instant, CallTicket>> deadlines;
    // Records that current calls wait for, each with its program, in the order of the tickets.
    std::deque<std::pair<journal::RecordTicket, ProgramId>> awaitedRecords;
    // Programs whose current call has a last record that the journal has not accepted yet.
    std::set<ProgramId> programsWithUnwrittenRecord;
    std::vector<Action> actions;

    void addTicket(CallTicket ticket, const ProgramId &program, Instant deadline);
    void removeTicket(CallTicket ticket);
    std::uint32_t shardOf(const ProgramId &program) const;
    // Appends a record of `program` to the journal and applies it to the program table.
    Result<journal::RecordTicket> append(const ProgramId &program, journal::Record record,
                                         Instant now);
    // True while a write has been pending for longer than OwnerOptions::outageAfter.
    bool isOutage(Instant now) const;
    // Returns an error for a call that has not run, with the time after which to retry.
    Error notRunError(ErrorKind kind, std::string_view message) const;
    // Tells the agents of all endpoints where the program may hold memory to free it.
    void release(const ProgramId &program);
};

} // namespace basilhall::owner::internal
