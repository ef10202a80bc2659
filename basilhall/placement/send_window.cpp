#include "basilhall/placement/send_window.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace basilhall::placement
{

namespace
{

constexpr Duration kWindow = std::chrono::seconds(1);
// Longest time until the peers learn of a request: the interval of updates between gateways.
constexpr Duration kReportTime = std::chrono::milliseconds(300);
// Part of the bound below which a gateway may exceed its share. The rest covers what gateways send
// before they learn of each other's requests.
constexpr double kWarmPart = 0.75;
// Parts of the bound below which each gateway may exceed its share by one or two requests in every
// report time, whatever the others do. In replays with 24 gateways, higher parts exceed the bound
// under full load, and lower ones hold back several percent of the requests of a calm load.
constexpr double kCalmPart = 0.5;
constexpr double kQuietPart = 0.4;
// A borrower gets the reply within 200 ms, or ignores it, and sends within 200 ms.
constexpr Duration kLendingTime = std::chrono::milliseconds(400);
// Time after which a gateway that waits to exceed its share tries again.
constexpr Duration kExtraPause = std::chrono::milliseconds(50);

// Returns a number in [0, 1) that looks random.
double fraction(std::uint64_t seed, std::uint64_t number)
{
    // The finalizer of SplitMix64.
    std::uint64_t mixed = seed + (number + 1) * 0x9E3779B97F4A7C15ULL;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return std::ldexp(static_cast<double>((mixed ^ (mixed >> 31U)) >> 11U), -53);
}

bool isRecent(Instant at, Instant now)
{
    return now - at < kWindow;
}

} // namespace

void SendWindow::setLimit(const ColdLimit &limit, std::uint64_t seed)
{
    m_limit = limit;
    m_seed = seed;
}

void SendWindow::drop(Instant now)
{
    while (!m_own.empty() && !isRecent(m_own.front().at, now)) {
        m_own.pop_front();
    }
    while (!m_lent.empty() && !isRecent(m_lent.front(), now)) {
        m_lent.pop_front();
    }
    while (!m_peers.empty() && !isRecent(m_peers.front().at, now)) {
        m_peers.pop_front();
    }
}

std::size_t SendWindow::used(bool isCold, Instant now) const
{
    // Requests that were sent before the endpoint turned cold may have used more than the share.
    const auto own = std::count_if(m_own.begin(), m_own.end(), [&](const OwnSend &send) {
        return isRecent(send.at, now) && !send.isBorrowed && (isCold || !send.isExtra);
    });
    const auto lent = std::count_if(m_lent.begin(), m_lent.end(),
                                    [&](Instant until) { return isRecent(until, now); });
    return static_cast<std::size_t>(own + lent);
}

bool SendWindow::admitsExtra(Instant now) const
{
    double own = 0;
    double ownLately = 0;
    double extra = 0;
    for (const OwnSend &send : m_own) {
        if (isRecent(send.at, now)) {
            ++own;
            extra += send.isExtra ? 1 : 0;
            ownLately += send.isExtra && now - send.at < kReportTime ? 1 : 0;
        }
    }
    double all = own;
    for (const PeerSends &peer : m_peers) {
        if (isRecent(peer.at, now)) {
            all += peer.counts.sends;
            extra += peer.counts.extra;
        }
    }
    const double left = std::min(kWarmPart * m_limit.bound - all,
                                 m_limit.bound - static_cast<double>(m_limit.planned) - extra);
    if (left <= 0) {
        return false;
    }
    if (ownLately < (all < kQuietPart * m_limit.bound ? 2 : 1) && all < kCalmPart * m_limit.bound) {
        return true;
    }
    // The gateways exceed their shares by `left` together if each uses this part of it, which is
    // the higher the more of the last requests were its own.
    const double part = left * (own + 1) / (all + static_cast<double>(m_limit.gateways));
    const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / kReportTime);
    return ownLately + fraction(m_seed, slot) < part;
}

bool SendWindow::admits(bool isCold, Instant now) const
{
    return used(isCold, now) < m_limit.share || (!isCold && admitsExtra(now));
}

Duration SendWindow::wait(bool isCold, Instant now) const
{
    if (admits(isCold, now)) {
        return Duration::zero();
    }
    if (isCold && m_limit.share == 0) {
        return kWindow;
    }
    if (!isCold) {
        return kExtraPause;
    }
    // Ends of the time in which each request uses up the share.
    std::vector<Instant> ends;
    for (const OwnSend &send : m_own) {
        if (!send.isBorrowed && isRecent(send.at, now)) {
            ends.push_back(send.at + kWindow);
        }
    }
    for (const Instant until : m_lent) {
        if (isRecent(until, now)) {
            ends.push_back(until + kWindow);
        }
    }
    std::sort(ends.begin(), ends.end());
    return ends[ends.size() - m_limit.share] - now;
}

void SendWindow::onSent(bool isCold, bool isBorrowed, Instant now)
{
    drop(now);
    const bool isExtra = !isBorrowed && used(isCold, now) >= m_limit.share;
    m_own.push_back({now, isExtra, isBorrowed});
    ++m_unreported.sends;
    m_unreported.extra += isExtra ? 1 : 0;
}

bool SendWindow::lend(Instant now)
{
    drop(now);
    // Also requests beyond the share count, since the borrower knows that the endpoint is cold.
    if (used(true, now) >= m_limit.share) {
        return false;
    }
    m_lent.push_back(now + kLendingTime);
    return true;
}

void SendWindow::onPeerSends(const SendCounts &counts, Instant now)
{
    drop(now);
    m_peers.push_back({now, counts});
}

SendCounts SendWindow::takeSends()
{
    return std::exchange(m_unreported, {});
}

} // namespace basilhall::placement
