#include "basilhall/turns/budget_ledger.h"

#include <algorithm>
#include <utility>

namespace basilhall::turns
{

namespace
{

// A gateway that took a grant reports it with its next update, 300 ms later at most; one that is
// not reported by then was given up by its asker.
constexpr Duration kGrantMemory = std::chrono::seconds(3);

} // namespace

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
    std::uint64_t sum = account.base;
    std::uint64_t said = 0;
    for (const auto &[incarnation, share] : account.shares) {
        sum += share.most() - std::min(share.most(), share.inBase);
        said = std::max(said, share.isGone ? share.total : 0);
    }
    return std::max(sum, said);
}

Admission BudgetLedger::admission(Account &account, const TurnBudget &turn, Instant now)
{
    for (auto &[incarnation, share] : account.shares) {
        if (!share.isGone && now - share.grantedAt > kGrantMemory) {
            share.granted = std::min(share.granted, share.grants);
        }
    }
    const std::uint64_t before = total(account);
    if (before + turn.most > turn.budget) {
        return Admission::Exhausted;
    }
    return before > account.durableTotal ? Admission::NeedsRecord : Admission::Admitted;
}

bool BudgetLedger::isOrphan(const Account &account) const
{
    const auto share = account.shares.find(account.home);
    return account.home != m_self && (share == account.shares.end() || share->second.isGone);
}

bool BudgetLedger::isOrphan(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() || isOrphan(found->second);
}

Admission BudgetLedger::admit(const TurnBudget &turn, Instant now)
{
    Account &entry = account(turn.program, now);
    entry.team = turn.team;
    Share &own = entry.shares[m_self];
    if (isOrphan(entry)) {
        return Admission::Orphaned;
    }
    if (entry.home != m_self) {
        return Admission::Elsewhere;
    }
    const Admission verdict = admission(entry, turn, now);
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
    if (isOrphan(entry)) {
        claim(turn.program, now);
    }
    if (entry.home != m_self) {
        return Admission::Elsewhere;
    }
    const Admission verdict = admission(entry, turn, now);
    if (verdict == Admission::Admitted) {
        Share &share = entry.shares[asker];
        share.isGone = false;
        ++share.granted;
        share.mostOfGrant = std::max(share.mostOfGrant, turn.most);
        share.grantedAt = now;
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
    if (entry.home == m_self) {
        return;
    }
    // What is known of before is not told by share: a later share counts beyond it.
    entry.base = total(entry);
    for (auto &[incarnation, share] : entry.shares) {
        share.inBase = share.most();
    }
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

std::vector<SpendReport> BudgetLedger::ownReports() const
{
    std::vector<SpendReport> reports;
    for (const auto &[program, entry] : m_programs) {
        if (entry.shares.contains(m_self)) {
            reports.push_back(report(program, entry));
        }
    }
    return reports;
}

std::vector<std::pair<Incarnation, SpendReport>> BudgetLedger::summary() const
{
    std::vector<std::pair<Incarnation, SpendReport>> reports;
    for (const auto &[program, entry] : m_programs) {
        SpendReport sum{program, entry.team};
        sum.total = total(entry);
        for (const auto &[incarnation, share] : entry.shares) {
            sum.total = std::max(sum.total, share.total);
        }
        if (sum.total > 0) {
            reports.emplace_back(entry.home.isEmpty() ? m_self : entry.home, std::move(sum));
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
