// How long other gateways have failed to write the records of this one.
//
//     CommitFailures failures;
//     failures.onFailed(now);
//     const Duration failing = failures.failingFor(now);
#pragma once

#include "basilhall/base/time.h"

#include <optional>

namespace basilhall::gateway
{

// Not thread-safe.
class CommitFailures
{
public:
    // Failures longer ago do not indicate the current state of the object API: refused records are
    // retried within a second.
    static constexpr Duration kExpiry = std::chrono::seconds(2);

    void onSucceeded() { m_since.reset(); }
    void onFailed(Instant now)
    {
        if (!m_since || now - m_last > kExpiry) {
            m_since = now;
        }
        m_last = now;
    }

    // Zero without recent failures.
    Duration failingFor(Instant now) const
    {
        return hasFailedWithin(kExpiry, now) ? now - *m_since : Duration::zero();
    }
    // The last failure, if it is one of a series of recent ones.
    std::optional<Instant> last(Instant now) const
    {
        return failingFor(now) > Duration::zero() ? std::optional(m_last) : std::nullopt;
    }
    // True if the last failure was at most `span` ago, and no commit has succeeded since.
    bool hasFailedWithin(Duration span, Instant now) const
    {
        return m_since && now - m_last <= span;
    }

private:
    // Start of the current series of failures.
    std::optional<Instant> m_since;
    Instant m_last;
};

} // namespace basilhall::gateway
