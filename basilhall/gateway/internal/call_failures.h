// How long calls of one kind have been failing, and when the last one failed.
//
//     CallFailures failures;
//     failures.onFailed(now);
//     const Duration failing = failures.failingFor(now);
#pragma once

#include "basilhall/base/time.h"

#include <optional>

namespace basilhall::gateway
{

// Not thread-safe.
class CallFailures
{
public:
    void onSucceeded() { m_since.reset(); }
    void onFailed(Instant now)
    {
        m_since = m_since.value_or(now);
        m_last = now;
    }

    // The first failure after the last success.
    const std::optional<Instant> &since() const { return m_since; }
    // The last failure, if no call has succeeded after it. Between it and the next call, nothing is
    // known.
    std::optional<Instant> last() const { return m_since ? m_last : std::nullopt; }
    // Zero if the last call succeeded.
    Duration failingFor(Instant now) const { return m_since ? now - *m_since : Duration::zero(); }

private:
    std::optional<Instant> m_since;
    std::optional<Instant> m_last;
};

} // namespace basilhall::gateway
