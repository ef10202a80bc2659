// All programs of the shards that a host owns, built by applying journal records in order.
//
//     ProgramTable table;
//     for (const journal::Record &record : recovered) {
//         BOOST_OUTCOME_TRY(table.apply(record));
//     }
//     table.beginEpoch(shard, epoch);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/program/budget_account.h"
#include "basilhall/program/program.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace basilhall::program
{

// Not thread-safe.
class ProgramTable
{
public:
    // Applies one record. Fails with Corrupt, which names the program, if the record contradicts
    // the state, such as a turn out of order. The state is unchanged in that case.
    Result<void> apply(const journal::Record &record);

    // Starts the epoch of a new owner of `shard`. Tokens that the previous owner had reserved may
    // have been spent, so they are counted as spent. An owner that hands over a shard releases its
    // reservations first. Intents of idempotent calls are dropped.
    void beginEpoch(std::uint32_t shard, std::uint64_t epoch);

    // Removes all programs of the shard.
    void removeShard(std::uint32_t shard);
    // Removes an ended program and, for a root, its account.
    void remove(const ProgramId &id);

    // Returns the program, or null.
    const Program *find(const ProgramId &id) const;
    // Returns the account that is charged for `id`, or null if its root is unknown.
    const BudgetAccount *accountOf(const ProgramId &id) const;
    // Returns the programs of one shard in unspecified order.
    std::vector<const Program *> programsOf(std::uint32_t shard) const;
    std::size_t size() const { return m_programs.size(); }

    // Returns records for a checkpoint that rebuild the shard, roots before their sub-agents.
    std::vector<journal::Record> snapshot(std::uint32_t shard) const;

private:
    struct Shard {
        std::uint64_t epoch = 0;
        std::unordered_set<ProgramId> programs;
    };

    Result<void> applyOpened(std::uint32_t shard, const journal::ProgramOpened &opened);
    Result<void> applyIntent(const journal::CallIntent &intent);
    Result<void> applySettled(const journal::TurnSettled &settled);
    Result<void> applyWithdrawn(const journal::CallWithdrawn &withdrawn);
    Result<void> applyEnded(const journal::ProgramEnded &ended);
    Result<void> applySnapshot(std::uint32_t shard, const journal::ProgramSnapshot &snapshot);
    Program *findMutable(const std::string &id);
    BudgetAccount *accountOfMutable(const Program &program);
    void replaceReservation(Program &program, std::uint64_t spent, std::uint64_t nextReserved);

    std::unordered_map<ProgramId, Program> m_programs;
    std::unordered_map<ProgramId, BudgetAccount> m_accounts;
    std::unordered_map<std::uint32_t, Shard> m_shards;
};

} // namespace basilhall::program
