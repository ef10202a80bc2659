// The state of an endpoint as known to one host: the last report of the endpoint's agent, and the
// calls that the host has sent since.
//
//     EndpointState state(info);
//     state.onReport(load, now, settings);
//     state.onSent(callId, tokens, now);
//     const double seconds = state.waitSeconds(settings);
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/route/endpoint_info.h"
#include "basilhall/route/endpoint_load.h"
#include "basilhall/route/route_settings.h"

#include <deque>
#include <optional>

namespace basilhall::route
{

// Not thread-safe. Memory grows with the calls sent between two reports.
class EndpointState
{
public:
    explicit EndpointState(EndpointInfo info);

    const EndpointInfo &info() const { return m_info; }
    void setInfo(EndpointInfo info);

    void onReport(const EndpointLoad &load, Instant now, const RouteSettings &settings);
    void onSent(const CallId &callId, std::uint64_t tokens, Instant now);
    void onFinished(const CallId &callId);
    // `ratio` is the share of the expected cached prefix tokens that were found in the cache.
    void onPrefixUsed(double ratio);
    void setLeaving(bool leaving) { m_isLeaving = leaving; }

    // Returns true if the endpoint may get new work.
    bool isUsable(Instant now, const RouteSettings &settings) const;
    // Returns the expected seconds until a call sent now begins, plus its slowdown by the calls
    // that run with it.
    double waitSeconds(const RouteSettings &settings) const;
    // Returns the number of running and waiting calls, as far as this host knows.
    std::uint32_t pendingCalls() const;
    // Moving average, from 0 to 1, of the share of expected prefix tokens found in the cache.
    double prefixHitRatio() const { return m_prefixHitRatio; }

private:
    struct SentCall {
        CallId callId;
        std::uint64_t tokens;
        Instant at;
    };

    EndpointInfo m_info;
    EndpointLoad m_load;
    std::optional<Instant> m_reportedAt;
    bool m_isLeaving = false;
    double m_prefixHitRatio = 1;
    // Calls sent by this host that the last report does not include.
    std::deque<SentCall> m_unreported;
    std::uint64_t m_unreportedTokens = 0;
    // Calls that finished since the last report, which still includes them.
    std::uint32_t m_finishedSinceReport = 0;
};

} // namespace basilhall::route
