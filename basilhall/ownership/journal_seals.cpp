#include "basilhall/ownership/journal_seals.h"

#include "basilhall/ownership/shard_states.h"

#include <algorithm>

namespace basilhall::ownership
{

using journal::BatchNumber;

namespace
{

bool isOpenIn(const Incarnation &incarnation, const ShardState &state)
{
    const JournalRange *range = openRange(state);
    return range != nullptr && range->incarnation() == incarnation.value();
}

} // namespace

JournalSeals::JournalSeals(Incarnation self, store::OperationIdSource &ids)
    : m_self(std::move(self))
    , m_ids(ids)
{
}

// The search for the end of the journal starts at the highest first number of the open ranges. If
// the batch with that number is missing because it was removed, every shard object has changed
// since, so every claim based on these views fails.
void JournalSeals::seal(const Incarnation &dead, const ShardTable &table)
{
    if (m_sealers.contains(dead)) {
        return;
    }
    BatchNumber first = 1;
    for (const auto &[shard, view] : table.views()) {
        if (isOpenIn(dead, view.state)) {
            first = std::max<BatchNumber>(first, openRange(view.state)->first_number());
        }
    }
    m_sealers.try_emplace(dead, dead, first, m_self, m_ids);
}

std::optional<BatchNumber> JournalSeals::lastNumber(const Incarnation &dead, BatchNumber first)
{
    const auto found = m_sealers.find(dead);
    if (found == m_sealers.end()) {
        return std::nullopt;
    }
    const std::optional<BatchNumber> last = found->second.lastNumber();
    if (last && *last + 1 < first) {
        // The search used an older view and started below batches that have been removed since.
        m_sealers.erase(found);
        return std::nullopt;
    }
    return last;
}

void JournalSeals::prune(const ShardTable &table)
{
    std::erase_if(m_sealers, [&table](const auto &item) {
        const auto &views = table.views();
        const bool isNeeded = std::any_of(views.begin(), views.end(), [&item](const auto &view) {
            return isOpenIn(item.first, view.second.state);
        });
        return item.second.lastNumber().has_value() && !isNeeded;
    });
}

std::vector<store::Operation> JournalSeals::advance(Instant now)
{
    std::vector<store::Operation> operations;
    for (auto &[dead, sealer] : m_sealers) {
        for (store::Operation &operation : sealer.advance(now)) {
            operations.push_back(std::move(operation));
        }
    }
    return operations;
}

void JournalSeals::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    for (auto &[dead, sealer] : m_sealers) {
        sealer.onOutcome(id, outcome, now);
    }
}

std::optional<Instant> JournalSeals::nextWake() const
{
    std::optional<Instant> wake;
    for (const auto &[dead, sealer] : m_sealers) {
        const std::optional<Instant> sealerWake = sealer.nextWake();
        if (sealerWake && (!wake || *sealerWake < *wake)) {
            wake = sealerWake;
        }
    }
    return wake;
}

} // namespace basilhall::ownership
