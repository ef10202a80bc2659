#include "basilhall/schedule/team_queue.h"

#include <algorithm>

namespace basilhall::schedule
{

namespace
{

// Upper bound of the attained tokens in a rank, above any real program. Keeps ranks within 64 bits.
constexpr std::uint64_t kMaxAttainedTokens = 1'000'000'000'000;

} // namespace

// Aging lowers all ranks at the same speed, so the order depends only on when each call starts to
// age, and ranks need no updates.
TeamQueue::Rank TeamQueue::rankOf(const QueuedCall &item, std::uint64_t number,
                                  const OrderSettings &settings)
{
    const std::uint64_t step = std::max<std::uint64_t>(settings.attainedStepTokens, 1);
    const std::uint64_t attained = std::min(item.attainedTokens, kMaxAttainedTokens) / step * step;
    const Instant since = item.programStarted.value_or(item.enqueued);
    const std::int64_t millis =
        std::chrono::floor<std::chrono::milliseconds>(since).time_since_epoch().count();
    const auto aging = static_cast<std::int64_t>(settings.agingTokensPerSecond);
    return Rank{static_cast<std::int64_t>(attained) + millis * aging / 1000, number};
}

void TeamQueue::insert(const Rank &rank)
{
    m_ranks.insert(rank);
}

void TeamQueue::erase(const Rank &rank)
{
    m_ranks.erase(rank);
}

} // namespace basilhall::schedule
