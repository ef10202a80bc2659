// What the programs have spent of their token budgets, over all gateways.
//
// One incarnation, the home of a program, admits all its turns; the others ask it. Each counts what
// it hands out itself and hears the counts of the others. What is in flight counts at its most.
// Before the home admits a turn, all that any gateway handed out or has in flight for the program
// must be covered by durable records, so that after the loss of every process at most one turn of
// the program is unknown.
//
//     BudgetLedger ledger(self);
//     switch (ledger.admit(request, now)) {
//     case Admission::Admitted: ...     // cover it soon; ledger.settle(program, most, spent) later
//     case Admission::NeedsRecord: ...  // write ledger.record(program), then ledger.onDurable()
//     case Admission::Exhausted: ...
//     case Admission::Elsewhere: ...    // ask ledger.home(program), then ledger.onGranted(request)
//     case Admission::Orphaned: ...     // let one gateway claim() the program
//     }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilhall::turns
{

enum class Admission {
    Admitted,
    // What was admitted before has to be covered by a durable record first.
    NeedsRecord,
    // One more turn might exceed the budget.
    Exhausted,
    // Another incarnation is the home of the program.
    Elsewhere,
    // The program has no home, or its home is gone.
    Orphaned,
};

// A turn that asks for its part of a budget. Immutable value.
struct TurnBudget {
    ProgramId program;
    TeamName team;
    // Of all turns of the program together.
    std::uint64_t budget = 0;
    // Most tokens of this turn.
    std::uint64_t most = 0;

    auto operator<=>(const TurnBudget &) const = default;
};

// What one incarnation says of one program. Immutable value.
struct SpendReport {
    ProgramId program;
    TeamName team;
    std::uint64_t spent = 0;
    std::uint64_t covered = 0;
    std::uint64_t inFlight = 0;
    // Turns that the home has admitted for it and that the amounts above hold.
    std::uint64_t grants = 0;
    // True if it is the home of the program.
    bool isHome = false;
    // Most that all incarnations together may have handed out, as far as the home knows; 0 if it is
    // not the home.
    std::uint64_t total = 0;

    auto operator<=>(const SpendReport &) const = default;
};

// Not thread-safe. All amounts are tokens.
class BudgetLedger
{
public:
    explicit BudgetLedger(Incarnation self);

    // Asks to run a turn here; on Admitted it is in flight.
    Admission admit(const TurnBudget &turn, Instant now);
    // As home, admits a turn that `asker` is to run. Elsewhere if another live incarnation is home.
    // Like admit(), NeedsRecord if what was admitted before is not covered.
    Admission grant(const Incarnation &asker, const TurnBudget &turn, Instant now);
    // The home has admitted a turn of this incarnation; it is in flight.
    void onGranted(const TurnBudget &turn, Instant now);
    // Makes this incarnation the home.
    void claim(const ProgramId &program, Instant now);
    // Empty if none is known.
    Incarnation home(const ProgramId &program) const;
    bool knows(const ProgramId &program) const { return m_programs.contains(program); }
    // True if it has no home, or its home is gone.
    bool isOrphan(const ProgramId &program) const;
    // A turn that was admitted with `most` has ended and handed out `spent`.
    void settle(const ProgramId &program, std::uint64_t most, std::uint64_t spent, Instant now);

    // Returns the own record of a program, with a cover for what is spent and in flight here and,
    // as home, at all.
    SpendReport record(const ProgramId &program) const;
    // The record is durable.
    void onDurable(const SpendReport &record);
    // Returns the own programs that changed since the last call, for peers.
    std::vector<SpendReport> takeChanges();
    // Returns all own programs, for a peer that has just connected.
    std::vector<SpendReport> ownReports() const;
    // Returns the most that all incarnations may have handed out of each program, with its home:
    // one entry a program, whatever the number of gateways. For onJournalReport() of a successor.
    std::vector<std::pair<Incarnation, SpendReport>> summary() const;

    // Takes what a journal says of another incarnation. One that has not been heard itself counts
    // as gone.
    void onJournalReport(const Incarnation &writer, const SpendReport &report, Instant now);
    // Takes what another incarnation says.
    void onPeerReport(const Incarnation &peer, const SpendReport &report, Instant now);
    // The incarnation is gone: what it had covered or in flight counts as spent.
    void onPeerGone(const Incarnation &peer);

    // Drops programs without change since `before`.
    void expire(Instant before);
    std::uint64_t spent(const ProgramId &program) const;
    std::size_t size() const { return m_programs.size(); }

private:
    struct Share {
        std::uint64_t spent = 0;
        std::uint64_t covered = 0;
        std::uint64_t inFlight = 0;
        // Turns that the home admitted for it, and of these the ones it has reported.
        std::uint64_t granted = 0;
        std::uint64_t grants = 0;
        std::uint64_t mostOfGrant = 0;
        Instant grantedAt;
        // What it said as home; counts once it is gone.
        std::uint64_t total = 0;
        // Part of its most that the account's base holds.
        std::uint64_t inBase = 0;
        // The share comes from a journal and no live process vouches for it.
        bool isGone = false;

        std::uint64_t most() const;
    };
    struct Account {
        TeamName team;
        Incarnation home;
        std::map<Incarnation, Share> shares;
        // What had been handed out when this incarnation became the home; shares count beyond it.
        std::uint64_t base = 0;
        // Of the own records as home that are durable.
        std::uint64_t durableTotal = 0;
        Instant changed;
        bool hasNews = false;
    };

    Account &account(const ProgramId &program, Instant now);
    void noteNews(const ProgramId &program, Account &account);
    bool isOrphan(const Account &account) const;
    static std::uint64_t total(const Account &account);
    // Admission of one more turn by its home, without taking note of it.
    static Admission admission(Account &account, const TurnBudget &turn, Instant now);
    SpendReport report(const ProgramId &program, const Account &account) const;

    Incarnation m_self;
    std::unordered_map<ProgramId, Account> m_programs;
    std::vector<ProgramId> m_news;
};

} // namespace basilhall::turns
