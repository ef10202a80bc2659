#include "basilhall/placement/program_starts.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace basilhall::placement
{

namespace
{

constexpr Duration kHalfLife = std::chrono::seconds(10);
// Number of first turns from which the requests that follow them are known well enough.
constexpr double kMinStarts = 5;
// Part of the limits that is planned for, since programs differ.
constexpr double kPlannedPart = 0.9;
// Time at the admitted rate for which first turns may come at once.
constexpr double kStockSeconds = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void ProgramStarts::setRates(Rates rates, Instant now)
{
    if (rates == m_rates) {
        return;
    }
    m_level = std::isinf(perSecond()) ? 1 : level(now);
    m_updated = now;
    m_rates = std::move(rates);
    m_fadedAt = now;
}

double ProgramStarts::perSecond() const
{
    double perSecond = std::numeric_limits<double>::infinity();
    if (m_starts < kMinStarts) {
        return perSecond;
    }
    for (const auto &[service, rate] : m_rates) {
        const auto found = m_requests.find(service);
        if (found != m_requests.end() && found->second > 0) {
            perSecond = std::min(perSecond, kPlannedPart * rate * m_starts / found->second);
        }
    }
    return perSecond;
}

double ProgramStarts::level(Instant now) const
{
    const double rate = perSecond();
    if (std::isinf(rate)) {
        return 1;
    }
    return std::min(std::max(1.0, rate * kStockSeconds),
                    m_level + rate * seconds(std::max(now - m_updated, Duration::zero())));
}

bool ProgramStarts::admits(Instant now) const
{
    return level(now) >= 1;
}

void ProgramStarts::onStart(Instant now)
{
    m_level = level(now) - 1;
    m_updated = now;
    if (m_rates.empty()) {
        fade(now);
        m_starts += 1;
    }
}

void ProgramStarts::onRequest(const std::string &service, Instant now)
{
    // What programs need shows only while they get it.
    if (m_rates.empty()) {
        fade(now);
        m_requests[service] += 1;
    }
}

void ProgramStarts::fade(Instant now)
{
    const double part =
        std::exp2(-seconds(std::max(now - m_fadedAt, Duration::zero())) / seconds(kHalfLife));
    m_fadedAt = now;
    m_starts *= part;
    for (auto &[service, requests] : m_requests) {
        requests *= part;
    }
}

} // namespace basilhall::placement
