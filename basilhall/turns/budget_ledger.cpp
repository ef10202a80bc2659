#include "basilhall/turns/budget_ledger.h"

#include <algorithm>
#include <utility>

namespace basilhall::turns
{

std::uint64_t BudgetLedger::Share::most() const
{
    return isGone ? std::max(covered, spent + inFlight) : spent + inFlight;
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

Admission BudgetLedger::admit(const ProgramId &program, const TeamName &team, std::uint64_t budget,
                              std::uint64_t most, Instant now)
{
    Account &entry = account(program, now);
    entry.team = team;
    std::uint64_t total = 0;
    for (const auto &[incarnation, share] : entry.shares) {
        total += share.most();
    }
    if (total + most > budget) {
        return Admission::Exhausted;
    }
    Share &own = entry.shares[m_self];
    if (own.spent + own.inFlight > own.covered) {
        return Admission::NeedsRecord;
    }
    own.inFlight += most;
    if (!std::exchange(entry.hasNews, true)) {
        m_news.push_back(program);
    }
    return Admission::Admitted;
}

void BudgetLedger::settle(const ProgramId &program, std::uint64_t most, std::uint64_t spent,
                          Instant now)
{
    Account &entry = account(program, now);
    Share &own = entry.shares[m_self];
    own.inFlight -= std::min(own.inFlight, most);
    own.spent += spent;
    if (!std::exchange(entry.hasNews, true)) {
        m_news.push_back(program);
    }
}

SpendReport BudgetLedger::report(const ProgramId &program, const Account &account) const
{
    const auto own = account.shares.find(m_self);
    if (own == account.shares.end()) {
        return {program, account.team, 0, 0, 0};
    }
    return {program, account.team, own->second.spent, own->second.covered, own->second.inFlight};
}

SpendReport BudgetLedger::record(const ProgramId &program, std::uint64_t ahead) const
{
    const auto found = m_programs.find(program);
    if (found == m_programs.end()) {
        return {program, {}, 0, 0, 0};
    }
    SpendReport made = report(program, found->second);
    made.covered = std::max(made.covered, made.spent + made.inFlight + ahead);
    return made;
}

void BudgetLedger::onDurable(const SpendReport &record)
{
    const auto found = m_programs.find(record.program);
    if (found != m_programs.end()) {
        Share &own = found->second.shares[m_self];
        own.covered = std::max(own.covered, record.covered);
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

std::vector<ProgramId> BudgetLedger::uncovered() const
{
    std::vector<ProgramId> programs;
    for (const auto &[program, entry] : m_programs) {
        const auto own = entry.shares.find(m_self);
        if (own != entry.shares.end() && own->second.spent > own->second.covered) {
            programs.push_back(program);
        }
    }
    return programs;
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
    // Reports of one incarnation may arrive by two ways and out of order.
    if (report.spent < share.spent) {
        return;
    }
    share.isGone = false;
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
    std::erase_if(m_programs, [before](const auto &entry) {
        return entry.second.changed < before;
    });
}

std::uint64_t BudgetLedger::spent(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    std::uint64_t total = 0;
    if (found != m_programs.end()) {
        for (const auto &[incarnation, share] : found->second.shares) {
            total += share.most();
        }
    }
    return total;
}

} // namespace basilhall::turns
