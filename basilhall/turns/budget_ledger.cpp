#include "basilhall/turns/budget_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace basilhall::turns
{

namespace
{

// A gateway reports an accepted grant with its next update, within 300 ms. A grant that is not
// reported by this time was abandoned by the gateway that asked for it.
constexpr Duration kGrantReportTimeout = std::chrono::seconds(3);

} // namespace

std::uint64_t BudgetLedger::Share::upperBound() const
{
    const std::uint64_t unreported =
        grantsIssued > grantsReported ? (grantsIssued - grantsReported) * maxGrantTokens : 0;
    const std::uint64_t reported = spent + inFlight + unreported;
    return isLost ? std::max(covered, reported) : reported;
}

std::uint64_t BudgetLedger::Share::beyondBase() const
{
    const std::uint64_t bound = upperBound();
    return bound - std::min(bound, countedInBase);
}

void BudgetLedger::Share::applyTotals(const SpendReport &report)
{
    if (report.totalNumber > totalNumber) {
        totalNumber = report.totalNumber;
        covered = report.covered;
        totalAsHome = report.total;
        addedAsHome = report.added;
    } else if (report.totalNumber == totalNumber || report.totalNumber == 0) {
        covered = std::max(covered, report.covered);
        totalAsHome = std::max(totalAsHome, report.total);
        addedAsHome = std::max(addedAsHome, report.added);
    }
}

BudgetLedger::BudgetLedger(Incarnation self)
    : m_self(std::move(self))
{
}

BudgetLedger::Account &BudgetLedger::account(const ProgramId &program, Instant now)
{
    Account &found = m_programs[program];
    found.changedAt = std::max(found.changedAt, now);
    return found;
}

void BudgetLedger::noteChange(const ProgramId &program, Account &account)
{
    ++account.changeNumber;
    if (!std::exchange(account.hasPendingChange, true)) {
        m_changedPrograms.push_back(program);
    }
}

std::uint64_t BudgetLedger::total(const Account &account)
{
    std::uint64_t sum = account.base;
    std::uint64_t reportedTotal = 0;
    for (const auto &[incarnation, share] : account.shares) {
        const std::uint64_t addedAsHome = share.isLost && account.hasBase
            ? share.addedAsHome - std::min(share.addedAsHome, share.addedInBase)
            : 0;
        sum += std::max(share.beyondBase(), addedAsHome);
        reportedTotal = std::max(reportedTotal, share.isLost ? share.totalAsHome : 0);
    }
    return std::max(sum, reportedTotal);
}

std::uint64_t BudgetLedger::added(const Account &account)
{
    std::uint64_t sum = 0;
    for (const auto &[incarnation, share] : account.shares) {
        sum += share.beyondBase();
    }
    return sum;
}

std::uint64_t BudgetLedger::durableTotal(const Account &account)
{
    if (account.durableNumber == 0) {
        return 0;
    }
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[number, recorded] : account.statedTotals) {
        lowest = std::min(lowest, recorded);
    }
    return lowest;
}

bool BudgetLedger::isOvercounted(const Account &account)
{
    const auto newest = account.statedTotals.find(account.durableNumber);
    if (newest == account.statedTotals.end()
        || newest->second + account.maxTurnTokens <= account.budget) {
        return false;
    }
    const bool hasTurnInFlight =
        std::any_of(account.shares.begin(), account.shares.end(), [](const auto &entry) {
            return entry.second.inFlight > 0
                || entry.second.grantsIssued > entry.second.grantsReported;
        });
    return !hasTurnInFlight && total(account) < newest->second;
}

Admission BudgetLedger::admission(Account &account, const TurnBudget &turn, Instant now)
{
    for (auto &[incarnation, share] : account.shares) {
        if (!share.isLost && share.grantsIssued > share.grantsReported
            && now - share.grantedAt > kGrantReportTimeout) {
            share.grantsIssued = std::min(share.grantsIssued, share.grantsReported);
            ++account.changeNumber;
        }
    }
    account.budget = turn.budget;
    account.maxTurnTokens = std::max(account.maxTurnTokens, turn.maxTokens);
    const std::uint64_t before = total(account);
    if (before + turn.maxTokens > turn.budget) {
        return Admission::Exhausted;
    }
    return before > durableTotal(account) ? Admission::NeedsRecord : Admission::Admitted;
}

bool BudgetLedger::isOrphan(const Account &account) const
{
    const auto share = account.shares.find(account.home);
    return account.home != m_self && (share == account.shares.end() || share->second.isLost);
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
    Share &local = entry.shares[m_self];
    if (isOrphan(entry)) {
        return Admission::Orphaned;
    }
    if (entry.home != m_self || now > m_trustedUntil) {
        return Admission::Elsewhere;
    }
    const Admission verdict = admission(entry, turn, now);
    if (verdict == Admission::Admitted) {
        local.inFlight += turn.maxTokens;
        noteChange(turn.program, entry);
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
        share.isLost = false;
        // The asker also reports turns that an earlier home admitted.
        share.grantsIssued = std::max(share.grantsIssued, share.grantsReported) + 1;
        share.maxGrantTokens = std::max(share.maxGrantTokens, turn.maxTokens);
        share.grantedAt = now;
        noteChange(turn.program, entry);
    }
    return verdict;
}

bool BudgetLedger::mustRecordBeforeRun(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found != m_programs.end() && found->second.home == m_self
        && (found->second.isInherited || found->second.durableNumber == 0);
}

void BudgetLedger::withdrawGrant(const Incarnation &asker, const ProgramId &program, Instant now)
{
    Account &entry = account(program, now);
    Share &share = entry.shares[asker];
    if (share.grantsIssued > share.grantsReported) {
        --share.grantsIssued;
        noteChange(program, entry);
    }
}

void BudgetLedger::onGranted(const TurnBudget &turn, Instant now)
{
    Account &entry = account(turn.program, now);
    Share &local = entry.shares[m_self];
    local.inFlight += turn.maxTokens;
    ++local.grantsReported;
    noteChange(turn.program, entry);
}

void BudgetLedger::claim(const ProgramId &program, Instant now)
{
    Account &entry = account(program, now);
    if (entry.home == m_self) {
        return;
    }
    entry.isInherited = entry.isInherited || !entry.home.isEmpty()
        || std::any_of(entry.shares.begin(), entry.shares.end(),
                       [](const auto &share) { return share.second.isLost; });
    // The earlier total cannot be split into shares: only later spending is added to it.
    entry.base = total(entry);
    for (auto &[incarnation, share] : entry.shares) {
        share.countedInBase = share.upperBound();
        share.addedInBase = share.addedAsHome;
    }
    entry.hasBase = true;
    entry.home = m_self;
    (void)entry.shares[m_self];
    noteChange(program, entry);
}

Incarnation BudgetLedger::home(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? Incarnation() : found->second.home;
}

std::uint64_t BudgetLedger::changeNumber(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? 0 : found->second.changeNumber;
}

bool BudgetLedger::isCovered(const ProgramId &program, std::uint64_t number) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() || found->second.home != m_self
        || found->second.durableNumber >= number;
}

void BudgetLedger::settle(const ProgramId &program, std::uint64_t maxTokens, std::uint64_t spent,
                          Instant now)
{
    Account &entry = account(program, now);
    Share &local = entry.shares[m_self];
    local.inFlight -= std::min(local.inFlight, maxTokens);
    local.spent += spent;
    noteChange(program, entry);
    if (entry.home == m_self) {
        m_settledPrograms.insert(program);
    }
}

SpendReport BudgetLedger::report(const ProgramId &program, Account &account)
{
    const auto local = account.shares.find(m_self);
    if (local == account.shares.end()) {
        return {program, account.team};
    }
    const bool isHome = account.home == m_self;
    if (isHome) {
        account.statedTotals[account.changeNumber] = total(account);
    }
    return {program,
            account.team,
            local->second.spent,
            local->second.covered,
            local->second.inFlight,
            local->second.grantsReported,
            isHome,
            isHome ? total(account) : 0,
            isHome ? account.changeNumber : 0,
            isHome ? added(account) : 0};
}

SpendReport BudgetLedger::record(const ProgramId &program)
{
    const auto found = m_programs.find(program);
    if (found == m_programs.end()) {
        return {program, {}};
    }
    SpendReport made = report(program, found->second);
    made.covered = made.spent + made.inFlight;
    if (!made.isHome) {
        made.covered = std::max(made.covered, found->second.shares[m_self].covered);
    }
    return made;
}

std::vector<ProgramId> BudgetLedger::overcountedPrograms()
{
    std::erase_if(m_settledPrograms, [this](const ProgramId &program) {
        const auto found = m_programs.find(program);
        return found == m_programs.end() || found->second.home != m_self
            || !isOvercounted(found->second);
    });
    return {m_settledPrograms.begin(), m_settledPrograms.end()};
}

void BudgetLedger::onDurable(const SpendReport &record)
{
    const auto found = m_programs.find(record.program);
    if (found != m_programs.end()) {
        Account &entry = found->second;
        entry.shares[m_self].applyTotals(record);
        if (record.isHome && record.totalNumber > entry.durableNumber) {
            entry.durableNumber = record.totalNumber;
            entry.statedTotals.erase(entry.statedTotals.begin(),
                                     entry.statedTotals.lower_bound(record.totalNumber));
        }
    }
}

std::vector<SpendReport> BudgetLedger::takeChanges()
{
    std::vector<SpendReport> changes;
    for (const ProgramId &program : std::exchange(m_changedPrograms, {})) {
        const auto found = m_programs.find(program);
        if (found != m_programs.end()) {
            found->second.hasPendingChange = false;
            changes.push_back(report(program, found->second));
        }
    }
    return changes;
}

SpendReport BudgetLedger::localReport(const ProgramId &program)
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? SpendReport{program, {}} : report(program, found->second);
}

std::vector<SpendReport> BudgetLedger::localReports()
{
    std::vector<SpendReport> reports;
    for (auto &[program, entry] : m_programs) {
        if (entry.shares.contains(m_self)) {
            reports.push_back(report(program, entry));
        }
    }
    return reports;
}

void BudgetLedger::addSummary(const ProgramId &program, Account &entry,
                              std::vector<std::pair<Incarnation, SpendReport>> &reports)
{
    SpendReport sum{program, entry.team};
    sum.total = total(entry);
    if (entry.home == m_self) {
        sum.totalNumber = entry.changeNumber;
        sum.added = added(entry);
        entry.statedTotals[sum.totalNumber] = sum.total;
    }
    for (const auto &[incarnation, share] : entry.shares) {
        if (incarnation != m_self) {
            sum.total = std::max(sum.total, share.totalAsHome);
        }
        if (incarnation == entry.home && incarnation != m_self) {
            sum.totalNumber = share.totalNumber;
            sum.added = share.addedAsHome;
        }
    }
    if (sum.total > 0) {
        reports.emplace_back(entry.home.isEmpty() ? m_self : entry.home, std::move(sum));
    }
}

std::vector<std::pair<Incarnation, SpendReport>> BudgetLedger::summary()
{
    std::vector<std::pair<Incarnation, SpendReport>> reports;
    for (auto &[program, entry] : m_programs) {
        addSummary(program, entry, reports);
    }
    return reports;
}

std::vector<std::pair<Incarnation, SpendReport>>
BudgetLedger::summary(const std::set<ProgramId> &programs)
{
    std::vector<std::pair<Incarnation, SpendReport>> reports;
    for (const ProgramId &program : programs) {
        const auto known = m_programs.find(program);
        if (known != m_programs.end()) {
            addSummary(program, known->second, reports);
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
    at->second.isLost = isNew || at->second.isLost;
    at->second.spent = std::max(at->second.spent, report.spent);
    at->second.applyTotals(report);
    if (entry.home == m_self) {
        ++entry.changeNumber;
    }
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
    share.applyTotals(report);
    // Reports of one incarnation may arrive over two connections and out of order.
    if (report.spent < share.spent || report.grants < share.grantsReported) {
        return;
    }
    // If two incarnations claim the program at the same time, all gateways choose the smaller name.
    if (report.isHome && (entry.home != m_self || peer < m_self)) {
        entry.home = peer;
    }
    share.isLost = false;
    share.grantsReported = report.grants;
    share.spent = report.spent;
    share.inFlight = report.inFlight;
    if (entry.home == m_self) {
        ++entry.changeNumber;
        m_settledPrograms.insert(report.program);
    }
}

void BudgetLedger::onPeerLost(const Incarnation &peer)
{
    for (auto &[program, entry] : m_programs) {
        const auto found = entry.shares.find(peer);
        if (found != entry.shares.end()) {
            found->second.isLost = true;
            ++entry.changeNumber;
        }
    }
}

void BudgetLedger::expire(Instant before)
{
    std::erase_if(m_programs,
                  [before](const auto &entry) { return entry.second.changedAt < before; });
}

std::uint64_t BudgetLedger::spent(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? 0 : total(found->second);
}

} // namespace basilhall::turns
