// When the next ledger is written.
//
//     LedgerSchedule schedule;
//     if (schedule.isDue(now)) { ... schedule.onWritten(data.size(), now); }
#pragma once

#include "basilhall/base/time.h"

#include <algorithm>
#include <cstddef>

namespace basilhall::gateway
{

// A ledger costs processor time in proportion to its size, a successor reads the batches after the
// last one. So the interval grows with the size, up to a limit. Not thread-safe.
class LedgerSchedule
{
public:
    static constexpr Duration kMinInterval = std::chrono::seconds(2);
    static constexpr Duration kMaxInterval = std::chrono::seconds(4);
    // Size up to which ledgers follow each other in kMinInterval.
    static constexpr std::size_t kSmallLedgerBytes = 64 * 1024;

    bool isDue(Instant now) const { return now >= m_due; }
    void onWritten(std::size_t bytes, Instant now) { m_due = now + interval(bytes); }

    // The write failed: the next one follows as if the ledger were small.
    void onFailed(Instant now) { m_due = now + kMinInterval; }

    static Duration interval(std::size_t bytes)
    {
        const double sizes = static_cast<double>(bytes) / static_cast<double>(kSmallLedgerBytes);
        const auto grown = std::chrono::duration_cast<Duration>(
            kMinInterval * std::min(sizes, static_cast<double>(kMaxInterval / kMinInterval)));
        return std::clamp(grown, kMinInterval, kMaxInterval);
    }

private:
    Instant m_due = Instant::min();
};

} // namespace basilhall::gateway
