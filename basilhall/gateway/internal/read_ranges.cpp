#include "basilhall/gateway/internal/read_ranges.h"

#include <algorithm>

namespace basilhall::gateway
{

journal::BatchNumber ReadRanges::continueAfter(const Incarnation &journal,
                                               journal::BatchNumber lastKnown) const
{
    const auto found = m_ranges.find(journal);
    const bool isInRange = found != m_ranges.end() && lastKnown >= found->second.first
        && lastKnown <= found->second.last;
    return isInRange ? found->second.last : lastKnown;
}

journal::BatchNumber ReadRanges::begin(const Incarnation &journal, journal::BatchNumber lastKnown)
{
    const journal::BatchNumber after = continueAfter(journal, lastKnown);
    const auto [at, isNew] = m_ranges.try_emplace(journal, Range{after, after});
    if (after != at->second.last) {
        at->second = {after, after};
    }
    return after;
}

void ReadRanges::onRead(const Incarnation &journal, journal::BatchNumber batch)
{
    Range &range = m_ranges[journal];
    // A concurrent read may have begun elsewhere in the journal.
    if (batch == range.last + 1) {
        range.last = batch;
    }
}

void ReadRanges::onAllRead(const Incarnation &journal, journal::BatchNumber batch)
{
    Range &range = m_ranges[journal];
    const bool hasGap = range.first > batch;
    range = {0, hasGap ? batch : std::max(range.last, batch)};
}

journal::BatchNumber ReadRanges::last(const Incarnation &journal) const
{
    const auto found = m_ranges.find(journal);
    return found == m_ranges.end() ? 0 : found->second.last;
}

} // namespace basilhall::gateway
