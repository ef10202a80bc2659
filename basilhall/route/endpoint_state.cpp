#include "basilhall/route/endpoint_state.h"

#include <algorithm>

namespace basilhall::route
{

namespace
{

// Weight of a new observation in the moving average of the prefix hit ratio.
constexpr double kHitRatioSmoothing = 0.1;

} // namespace

EndpointState::EndpointState(EndpointInfo info)
    : m_info(std::move(info))
{
}

void EndpointState::setInfo(EndpointInfo info)
{
    m_info = std::move(info);
}

void EndpointState::onReport(const EndpointLoad &load, Instant now, const RouteSettings &settings)
{
    m_load = load;
    m_reportedAt = now;
    m_finishedSinceReport = 0;
    while (!m_unreported.empty() && m_unreported.front().at + settings.reportLag <= now) {
        m_unreportedTokens -= m_unreported.front().tokens;
        m_unreported.pop_front();
    }
}

void EndpointState::onSent(const CallId &callId, std::uint64_t tokens, Instant now)
{
    m_unreported.push_back({callId, tokens, now});
    m_unreportedTokens += tokens;
}

void EndpointState::onFinished(const CallId &callId)
{
    const auto found = std::find_if(m_unreported.begin(), m_unreported.end(),
                                    [&](const SentCall &sent) { return sent.callId == callId; });
    if (found == m_unreported.end()) {
        ++m_finishedSinceReport;
        return;
    }
    m_unreportedTokens -= found->tokens;
    m_unreported.erase(found);
}

void EndpointState::onPrefixUsed(double ratio)
{
    m_prefixHitRatio += kHitRatioSmoothing * (std::clamp(ratio, 0.0, 1.0) - m_prefixHitRatio);
}

bool EndpointState::isUsable(Instant now, const RouteSettings &settings) const
{
    return !m_isLeaving && !m_load.draining && m_load.healthy && m_reportedAt
        && now - *m_reportedAt <= settings.reportTimeout;
}

double EndpointState::waitSeconds(const RouteSettings &settings) const
{
    const double capacity = std::max<std::uint32_t>(m_load.capacity, 1);
    const double pending = pendingCalls();
    const double batchSlowdown = std::min(pending / capacity, 1.0) * settings.batchSlowdownSeconds;
    if (pending < capacity) {
        return batchSlowdown;
    }
    // Counts calls instead of their reported tokens, because agents estimate a call by its whole
    // prompt, cached or not, which would make a queue appear many times longer than it is.
    const double callsAhead = pending - capacity + 1;
    const double secondsPerCall =
        static_cast<double>(settings.tokensPerQueuedCall) / settings.decodeTokensPerSecond;
    return batchSlowdown + callsAhead * secondsPerCall / capacity;
}

std::uint32_t EndpointState::pendingCalls() const
{
    const std::size_t unfinished =
        std::size_t(m_load.running) + m_load.queued + m_unreported.size();
    return static_cast<std::uint32_t>(unfinished
                                      - std::min<std::size_t>(unfinished, m_finishedSinceReport));
}

} // namespace basilhall::route
