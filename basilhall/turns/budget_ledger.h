// Tracks how much of its token budget each program has spent across all gateways.
//
// One incarnation, the home of a program, admits all turns of the program; other gateways ask it.
// Each gateway counts the tokens that it delivers and receives the counts of the others. A turn in
// flight counts with its maximum number of tokens. Before the home admits a turn, durable records
// must cover everything that any gateway has delivered or has in flight for the program, so that at
// most one turn per program is unaccounted for after the loss of every process. The budget allows
// for that once: after a loss, a turn runs only once a record covers it, too.
//
//     BudgetLedger ledger(self);
//     switch (ledger.admit(request, now)) {
//     case Admission::Admitted: ...     // write a record, before the turn runs if
//                                       // mustRecordBeforeRun(); settle() at the end of the turn
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
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilhall::turns
{

enum class Admission {
    Admitted,
    // A durable record must cover the turns admitted before.
    NeedsRecord,
    // The turn could exceed the budget.
    Exhausted,
    // Another incarnation is the home of the program.
    Elsewhere,
    // The program has no home, or its home has been lost.
    Orphaned,
};

// The budget request of one turn. Immutable value.
struct TurnBudget {
    ProgramId program;
    TeamName team;
    // Tokens that all turns of the program together may generate.
    std::uint64_t budget = 0;
    // Maximum number of tokens that this turn may generate.
    std::uint64_t maxTokens = 0;

    auto operator<=>(const TurnBudget &) const = default;
};

// The spending of one incarnation for one program, in tokens. Immutable value.
struct SpendReport {
    ProgramId program;
    TeamName team;
    std::uint64_t spent = 0;
    std::uint64_t covered = 0;
    std::uint64_t inFlight = 0;
    // Number of turns that this home and earlier ones admitted for it and that the amounts above
    // include.
    std::uint64_t grants = 0;
    // True if the incarnation is the home of the program.
    bool isHome = false;
    // Upper bound of the tokens that all incarnations together have delivered, as known to the
    // home; 0 if the incarnation is not the home.
    std::uint64_t total = 0;
    // Increases with each change of `covered` and `total`: a report replaces those with lower
    // numbers. 0 if unknown; such a report only raises the amounts.
    std::uint64_t totalNumber = 0;
    // The part of `total` that was delivered since the incarnation became the home, as it counts it
    // itself: without what it knows only from the totals of other homes.
    std::uint64_t added = 0;

    auto operator<=>(const SpendReport &) const = default;
};

// Not thread-safe. All amounts are tokens.
class BudgetLedger
{
public:
    explicit BudgetLedger(Incarnation self);

    // After `until`, admit() returns Elsewhere for programs of this home: other gateways may have
    // become their homes, so that their spending has to be read before grant() is called.
    void trustTotalsUntil(Instant until) { m_trustedUntil = until; }
    // Requests admission of a turn that runs here; on Admitted the turn is in flight.
    Admission admit(const TurnBudget &turn, Instant now);
    // Admits a turn that `asker` will run, as the home of the program. Claims a program without a
    // live home. Elsewhere if another live incarnation is the home; NeedsRecord as for admit().
    Admission grant(const Incarnation &asker, const TurnBudget &turn, Instant now);
    // True if an admitted turn of this home may run only once a durable record covers it: an
    // earlier home was lost and may have admitted a turn that is not known here, or no record of
    // the program is durable yet, so that the loss of all processes would hide that it ever had a
    // turn.
    bool mustRecordBeforeRun(const ProgramId &program) const;
    // Withdraws a turn that grant() has admitted and of which `asker` has not been told.
    void withdrawGrant(const Incarnation &asker, const ProgramId &program, Instant now);
    // Records that the home admitted a turn of this incarnation; the turn is in flight.
    void onGranted(const TurnBudget &turn, Instant now);
    // Makes this incarnation the home of the program.
    void claim(const ProgramId &program, Instant now);
    // Returns the home of the program; empty if none is known.
    Incarnation home(const ProgramId &program) const;
    bool knows(const ProgramId &program) const { return m_programs.contains(program); }
    // True if the program has no home, or its home has been lost.
    bool isOrphan(const ProgramId &program) const;
    // Number of the last change of the program's amounts. A turn that has just been admitted here
    // is covered by records of this number and higher ones.
    std::uint64_t changeNumber(const ProgramId &program) const;
    // True if a durable record of this home has at least the number, or another incarnation is the
    // home: it counts the turns that it admits.
    bool isCovered(const ProgramId &program, std::uint64_t number) const;
    // Records the end of a turn that was admitted with `maxTokens` and delivered `spent` tokens.
    void settle(const ProgramId &program, std::uint64_t maxTokens, std::uint64_t spent,
                Instant now);

    // Returns a new local record of a program. It covers what is spent and in flight here and, if
    // this incarnation is the home, at all gateways. Once durable, it replaces earlier records, so
    // further turns are admitted only as far as this record and all earlier ones cover them.
    SpendReport record(const ProgramId &program);
    // Records that `record` has become durable.
    void onDurable(const SpendReport &record);
    // Returns the programs of this home whose newest durable record counts ended turns with their
    // maximum tokens, so that a successor could refuse a turn that the budget allows. A program is
    // returned until a lower record is durable.
    std::vector<ProgramId> overcountedPrograms();
    // Returns the local reports that changed since the last call, to send to peers.
    std::vector<SpendReport> takeChanges();
    // Returns the local report of a program, whether it has changed or not.
    SpendReport localReport(const ProgramId &program);
    // Returns all local reports, to send to a peer that has just connected.
    std::vector<SpendReport> localReports();
    // Returns, for each program, its home and an upper bound of the tokens that all incarnations
    // have delivered. One entry per program regardless of the number of gateways; a successor
    // passes them to onJournalReport().
    std::vector<std::pair<Incarnation, SpendReport>> summary();
    // The same for these programs only, in time that does not depend on the others.
    std::vector<std::pair<Incarnation, SpendReport>> summary(const std::set<ProgramId> &programs);

    // Applies a report of another incarnation that was read from a journal. An incarnation that has
    // not reported itself counts as lost.
    void onJournalReport(const Incarnation &writer, const SpendReport &report, Instant now);
    // Applies a report received from another incarnation.
    void onPeerReport(const Incarnation &peer, const SpendReport &report, Instant now);
    // Records the loss of an incarnation: what it had covered or in flight counts as spent.
    void onPeerLost(const Incarnation &peer);

    // Removes programs that have not changed since `before`.
    void expire(Instant before);
    std::uint64_t spent(const ProgramId &program) const;
    std::size_t size() const { return m_programs.size(); }

private:
    struct Share {
        std::uint64_t spent = 0;
        std::uint64_t covered = 0;
        std::uint64_t inFlight = 0;
        // Number of turns that the home admitted for the incarnation, and how many of them the
        // incarnation has reported.
        std::uint64_t grantsIssued = 0;
        std::uint64_t grantsReported = 0;
        // Maximum tokens of the largest admitted turn.
        std::uint64_t maxGrantTokens = 0;
        Instant grantedAt;
        // The total that it reported as the home; used once it is lost.
        std::uint64_t totalAsHome = 0;
        // What it reported as added while it was the home.
        std::uint64_t addedAsHome = 0;
        // Number of the report that `covered`, `totalAsHome` and `addedAsHome` are from.
        std::uint64_t totalNumber = 0;
        // The part of upperBound() that the base of the account includes.
        std::uint64_t countedInBase = 0;
        // The part of `addedAsHome` that the base of the account includes.
        std::uint64_t addedInBase = 0;
        // No live process reports this share: it was read from a journal, or its process is lost.
        bool isLost = false;

        // Upper bound of the tokens that the incarnation has delivered.
        std::uint64_t upperBound() const;
        // Upper bound of the tokens that the base of the account does not include.
        std::uint64_t beyondBase() const;
        // Applies `covered` and `total` of a report unless a later one has been applied.
        void applyTotals(const SpendReport &report);
    };
    struct Account {
        TeamName team;
        Incarnation home;
        std::map<Incarnation, Share> shares;
        // Tokens delivered before this incarnation became the home. Only spending beyond it is
        // added from the shares, and what lost homes added without this one knowing it.
        std::uint64_t base = 0;
        // This incarnation has been the home.
        bool hasBase = false;
        // It became the home after another one, or other processes with turns of the program, were
        // lost.
        bool isInherited = false;
        // Totals that this incarnation stated as the home, in records and in reports, by number:
        // the newest durable one and those stated after it. A successor uses the highest number
        // that reached it.
        std::map<std::uint64_t, std::uint64_t> statedTotals;
        std::uint64_t durableNumber = 0;
        // Number of the last change of an amount.
        std::uint64_t changeNumber = 0;
        // From the last turn that was admitted as the home.
        std::uint64_t budget = 0;
        std::uint64_t maxTurnTokens = 0;
        Instant changedAt;
        bool hasPendingChange = false;
    };

    Account &account(const ProgramId &program, Instant now);
    void noteChange(const ProgramId &program, Account &account);
    bool isOrphan(const Account &account) const;
    void addSummary(const ProgramId &program, Account &entry,
                    std::vector<std::pair<Incarnation, SpendReport>> &reports);
    static std::uint64_t total(const Account &account);
    static std::uint64_t added(const Account &account);
    // The total that a successor finds at least, whichever records become durable and whichever
    // reports reach it.
    static std::uint64_t durableTotal(const Account &account);
    static bool isOvercounted(const Account &account);
    // Decides on one more turn as the home, without recording it.
    static Admission admission(Account &account, const TurnBudget &turn, Instant now);
    // Returns the local report. The total in it counts as stated to a successor.
    SpendReport report(const ProgramId &program, Account &account);

    Instant m_trustedUntil = Instant::max();
    Incarnation m_self;
    std::unordered_map<ProgramId, Account> m_programs;
    std::vector<ProgramId> m_changedPrograms;
    // Programs of this home with a turn that ended, for overcountedPrograms().
    std::set<ProgramId> m_settledPrograms;
};

} // namespace basilhall::turns
