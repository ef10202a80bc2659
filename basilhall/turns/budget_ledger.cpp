#include "basilhall/turns/budget_ledger.h"

#include <algorithm>
#include <utility>

namespace basilhall::turns
{

std::uint64_t BudgetLedger::Share::most() const
{
    const std::uint64_t unreported = granted > grants ? (granted - grants) * mostOfGrant : 0;
    const std::uint64_t reported = spent + inFlight + unreported;
    return isGone ? std::max(covered, reported) : reported;
}

BudgetLedger::BudgetLedger(Incarnation self)
    : m_self(std::move(self))
{
}

BudgetLedger::Account &BudgetLedger::account(const ProgramId &program, Instant now)
{
    Account &found = m_programs[program];
    found.changed = std::max(found.changed, now);
    return found;
}

void BudgetLedger::noteNews(const ProgramId &program, Account &account)
{
    if (!std::exchange(account.hasNews, true)) {
        m_news.push_back(program);
    }
}

std::uint64_t BudgetLedger::total(const Account &account)
{
    std::uint64_t sum = 0;
    std::uint64_t said = 0;
    for (const auto &[incarnation, share] : account.shares) {
        sum += share.most();
        said = std::max(said, share.isGone ? share.total : 0);
    }
    return std::max(sum, said);
}

std::uint64_t BudgetLedger::durableTotal(const Account &account)
{
    std::uint64_t sum = 0;
    for (const auto &[incarnation, share] : account.shares) {
        sum += std::min(share.most(), share.covered);
    }
    return std::max(sum, account.durableTotal);
}

Admission BudgetLedger::admission(const Account &account, const TurnBudget &turn)
{
    const std::uint64_t before = total(account);
    if (before + turn.most > turn.budget) {
        return Admission::Exhausted;
    }
    return before > durableTotal(account) ? Admission::NeedsRecord : Admission::Admitted;
}

bool BudgetLedger::isHomeGone(const Account &account) const
{
    if (account.home.isEmpty()) {
        // Known from a journal alone.
        return !account.shares.empty();
    }
    const auto share = account.shares.find(account.home);
    return account.home != m_self && (share == account.shares.end() || share->second.isGone);
}

Admission BudgetLedger::admit(const TurnBudget &turn, Instant now)
{
    Account &entry = account(turn.program, now);
    entry.team = turn.team;
    Share &own = entry.shares[m_self];
    const bool isOnly = entry.shares.size() == 1;
    if (entry.home.isEmpty() && isOnly) {
        entry.home = m_self;
    }
    if (isHomeGone(entry)) {
        return Admission::Orphaned;
    }
    if (entry.home != m_self) {
        return Admission::Elsewhere;
    }
    const Admission verdict = admission(entry, turn);
    if (verdict == Admission::Admitted) {
        own.inFlight += turn.most;
        noteNews(turn.program, entry);
    }
    return verdict;
}

Admission BudgetLedger::grant(const Incarnation &asker, const TurnBudget &turn, Instant now)
{
    Account &entry = account(turn.program, now);
    entry.team = turn.team;
    if (entry.home.isEmpty() || isHomeGone(entry)) {
        claim(turn.program, now);
    }
    if (entry.home != m_self) {
        return Admission::Elsewhere;
    }
    const Admission verdict = admission(entry, turn);
    if (verdict == Admission::Admitted) {
        Share &share = entry.shares[asker];
        share.isGone = false;
        ++share.granted;
        share.mostOfGrant = std::max(share.mostOfGrant, turn.most);
        noteNews(turn.program, entry);
    }
    return verdict;
}

void BudgetLedger::onGranted(const TurnBudget &turn, Instant now)
{
    Account &entry = account(turn.program, now);
    Share &own = entry.shares[m_self];
    own.inFlight += turn.most;
    ++own.grants;
    noteNews(turn.program, entry);
}

void BudgetLedger::claim(const ProgramId &program, Instant now)
{
    Account &entry = account(program, now);
    entry.home = m_self;
    (void)entry.shares[m_self];
    noteNews(program, entry);
}

Incarnation BudgetLedger::home(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? Incarnation() : found->second.home;
}

void BudgetLedger::settle(const ProgramId &program, std::uint64_t most, std::uint64_t spent,
                          Instant now)
{
    Account &entry = account(program, now);
    Share &own = entry.shares[m_self];
    own.inFlight -= std::min(own.inFlight, most);
    own.spent += spent;
    noteNews(program, entry);
}

SpendReport BudgetLedger::report(const ProgramId &program, const Account &account) const
{
    const auto own = account.shares.find(m_self);
    if (own == account.shares.end()) {
        return {program, account.team};
    }
    const bool isHome = account.home == m_self;
    return {program,
            account.team,
            own->second.spent,
            own->second.covered,
            own->second.inFlight,
            own->second.grants,
            isHome,
            isHome ? total(account) : 0};
}

SpendReport BudgetLedger::record(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    if (found == m_programs.end()) {
        return {program, {}};
    }
    SpendReport made = report(program, found->second);
    made.covered = std::max(made.covered, made.spent + made.inFlight);
    return made;
}

void BudgetLedger::onDurable(const SpendReport &record)
{
    const auto found = m_programs.find(record.program);
    if (found != m_programs.end()) {
        Share &own = found->second.shares[m_self];
        own.covered = std::max(own.covered, record.covered);
        found->second.durableTotal = std::max(found->second.durableTotal, record.total);
    }
}

std::vector<SpendReport> BudgetLedger::takeChanges()
{
    std::vector<SpendReport> changes;
    for (const ProgramId &program : std::exchange(m_news, {})) {
        const auto found = m_programs.find(program);
        if (found != m_programs.end()) {
            found->second.hasNews = false;
            changes.push_back(report(program, found->second));
        }
    }
    return changes;
}

std::vector<std::pair<Incarnation, SpendReport>> BudgetLedger::allReports() const
{
    std::vector<std::pair<Incarnation, SpendReport>> reports;
    for (const auto &[program, entry] : m_programs) {
        for (const auto &[incarnation, share] : entry.shares) {
            // What a gone incarnation may have handed out goes on counting as spent.
            const std::uint64_t covered =
                share.isGone ? std::max(share.covered, share.most()) : share.covered;
            const bool isHome = entry.home == incarnation;
            const std::uint64_t said = incarnation == m_self && isHome ? total(entry) : share.total;
            reports.emplace_back(incarnation,
                                 SpendReport{program, entry.team, share.spent, covered,
                                             share.inFlight, share.grants, isHome, said});
        }
    }
    return reports;
}

void BudgetLedger::onJournalReport(const Incarnation &writer, const SpendReport &report,
                                   Instant now)
{
    if (writer == m_self) {
        return;
    }
    Account &entry = account(report.program, now);
    if (entry.team.isEmpty()) {
        entry.team = report.team;
    }
    const auto [at, isNew] = entry.shares.try_emplace(writer);
    at->second.isGone = isNew || at->second.isGone;
    at->second.spent = std::max(at->second.spent, report.spent);
    at->second.covered = std::max(at->second.covered, report.covered);
    at->second.total = std::max(at->second.total, report.total);
}

void BudgetLedger::onPeerReport(const Incarnation &peer, const SpendReport &report, Instant now)
{
    if (peer == m_self) {
        return;
    }
    Account &entry = account(report.program, now);
    if (entry.team.isEmpty()) {
        entry.team = report.team;
    }
    const auto [at, isNew] = entry.shares.try_emplace(peer);
    Share &share = at->second;
    share.total = std::max(share.total, report.total);
    // Reports of one incarnation may arrive by two ways and out of order.
    if (report.spent < share.spent || report.grants < share.grants) {
        return;
    }
    // Of two that became home at one moment, all follow the same.
    if (report.isHome && (entry.home != m_self || peer < m_self)) {
        entry.home = peer;
    }
    share.isGone = false;
    share.grants = report.grants;
    share.spent = report.spent;
    share.inFlight = report.inFlight;
    share.covered = std::max(share.covered, report.covered);
}

void BudgetLedger::onPeerGone(const Incarnation &peer)
{
    for (auto &[program, entry] : m_programs) {
        const auto found = entry.shares.find(peer);
        if (found != entry.shares.end()) {
            found->second.isGone = true;
        }
    }
}

void BudgetLedger::expire(Instant before)
{
    std::erase_if(m_programs,
                  [before](const auto &entry) { return entry.second.changed < before; });
}

std::uint64_t BudgetLedger::spent(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? 0 : total(found->second);
}

} // namespace basilhall::turns
