#include "basilhall/schedule/fair_queue.h"

#include <algorithm>

namespace basilhall::schedule
{

namespace
{

constexpr std::int64_t kPerMille = 1000;

std::size_t indexOf(PriorityClass priority)
{
    return static_cast<std::size_t>(priority);
}

// A call without an estimate is charged one token.
std::int64_t chargedTokens(const QueuedCall &item)
{
    return static_cast<std::int64_t>(std::max<std::uint64_t>(item.estimatedTokens, 1));
}

} // namespace

FairQueue::FairQueue(const OrderSettings &settings)
    : m_settings(settings)
{
}

bool FairQueue::push(QueuedCall item)
{
    const std::uint64_t number = m_lastNumber + 1;
    if (!m_numbers.try_emplace(item.callId, number).second) {
        return false;
    }
    m_lastNumber = number;
    const TeamQueue::Rank rank = TeamQueue::rankOf(item, number, m_settings);
    m_classes[indexOf(item.priority)].insert(item.team, rank);
    m_queuedTokens += item.estimatedTokens;
    m_items.emplace(number, Entry{std::move(item), rank});
    return true;
}

std::optional<QueuedCall> FairQueue::pop(Instant /*now*/)
{
    if (m_items.empty()) {
        return std::nullopt;
    }
    const std::size_t index = nextClass();
    ClassQueue &queue = m_classes[index];
    const std::uint64_t number = queue.nextRank().number;
    const QueuedCall &next = m_items.find(number)->second.item;
    const std::int64_t tokens = chargedTokens(next);
    queue.charge(next.team, tokens, next.weight);
    chargeClass(index, tokens);
    return take(number);
}

std::optional<PriorityClass> FairQueue::nextPriority() const
{
    if (m_items.empty()) {
        return std::nullopt;
    }
    return static_cast<PriorityClass>(nextClass());
}

bool FairQueue::remove(const CallId &callId)
{
    const auto found = m_numbers.find(callId);
    if (found == m_numbers.end()) {
        return false;
    }
    take(found->second);
    return true;
}

void FairQueue::settle(const QueuedCall &item, std::uint64_t servedTokens)
{
    const std::int64_t correction = static_cast<std::int64_t>(servedTokens) - chargedTokens(item);
    m_classes[indexOf(item.priority)].charge(item.team, correction, item.weight);
}

// Returns the highest class with waiting calls that has not exceeded its share by more than the
// burst; if there is none, the lowest class with waiting calls.
std::size_t FairQueue::nextClass() const
{
    std::size_t lowest = 0;
    for (std::size_t index = 0; index < kPriorityClassCount; ++index) {
        if (m_classes[index].isEmpty()) {
            continue;
        }
        if (m_excessMilliTokens[index] <= m_settings.classBurstTokens * kPerMille) {
            return index;
        }
        lowest = index;
    }
    return lowest;
}

// A class that runs while lower classes wait accumulates the tokens that exceed its share. Each
// token of a lower class reduces the excess of the higher classes by their share.
void FairQueue::chargeClass(std::size_t index, std::int64_t tokens)
{
    const std::array<std::int64_t, kPriorityClassCount> shares = {
        m_settings.maxUrgentSharePerMille, m_settings.maxNormalSharePerMille, kPerMille};
    bool isLowerWaiting = false;
    for (std::size_t lower = index + 1; lower < kPriorityClassCount; ++lower) {
        isLowerWaiting = isLowerWaiting || !m_classes[lower].isEmpty();
    }
    m_excessMilliTokens[index] =
        isLowerWaiting ? m_excessMilliTokens[index] + tokens * (kPerMille - shares[index]) : 0;
    for (std::size_t higher = 0; higher < index; ++higher) {
        const std::int64_t repaid = tokens * shares[higher];
        m_excessMilliTokens[higher] =
            std::max<std::int64_t>(m_excessMilliTokens[higher] - repaid, 0);
    }
}

QueuedCall FairQueue::take(std::uint64_t number)
{
    const auto found = m_items.find(number);
    Entry entry = std::move(found->second);
    m_items.erase(found);
    m_numbers.erase(entry.item.callId);
    m_classes[indexOf(entry.item.priority)].erase(entry.item.team, entry.rank);
    m_queuedTokens -= entry.item.estimatedTokens;
    return std::move(entry.item);
}

} // namespace basilhall::schedule
