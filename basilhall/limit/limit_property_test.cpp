// Checks that a simulated fleet keeps the team limit under virtual time, with pauses, partitions,
// takeovers, rate changes, and lost, duplicated and delayed messages. Each mechanism is also
// disabled in turn, and the limit must then be exceeded.
#include "basilhall/limit/grant_cache.h"
#include "basilhall/limit/limiter.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <queue>
#include <random>
#include <rapidcheck.h>

using namespace basilhall;
using namespace basilhall::limit;
using namespace std::chrono_literals;

namespace
{

const TeamName kTeam("haulers");
constexpr Instant kStart{1h};
constexpr Instant kEnd = kStart + 60s;
constexpr std::size_t kHosts = 3;

// The mechanism that is disabled to show that it is needed.
enum class Disabled {
    Nothing,
    SuccessorWait,
    Lease,
    CheckBeforeSend,
    SettleAfterSend,
};

// Checks all windows at once with a token bucket: no window contains more than
// burst + rate * length requests if and only if the bucket is never empty when a request is sent.
class WindowCheck
{
public:
    explicit WindowCheck(const Rate &rate)
        : m_rate(rate)
        , m_capacity(rate.burst)
        , m_level(rate.burst)
    {
    }

    void setRate(const Rate &rate, Instant now)
    {
        advance(now);
        m_rate = rate;
        m_capacity = std::max<double>(m_capacity, rate.burst);
    }

    // Grants from before the burst was lowered have expired.
    void lowerCapacity(Instant now)
    {
        advance(now);
        m_capacity = m_rate.burst;
    }

    void onSent(Instant now)
    {
        advance(now);
        m_level -= 1;
        m_lowestLevel = std::min(m_lowestLevel, m_level);
    }

    bool isKept() const { return m_lowestLevel > -1e-6; }

private:
    void advance(Instant now)
    {
        const double seconds = std::chrono::duration<double>(now - m_updated).count();
        const double perSecond = static_cast<double>(m_rate.milliPerSecond) / 1000;
        m_level = std::min(m_level + seconds * perSecond, m_capacity);
        m_updated = now;
    }

    Rate m_rate;
    double m_capacity;
    double m_level;
    double m_lowestLevel = 0;
    Instant m_updated = kStart;
};

// Simulates a limiter, its successor, and hosts that send calls.
class Fleet
{
public:
    Fleet(std::uint64_t seed, Disabled disabled)
        : m_random(seed)
        , m_disabled(disabled)
        , m_rate(randomRate())
        , m_delayPercent(pick(60))
        , m_maxDelayMillis(std::array{5, 250, 1200}[pick(3)])
        , m_latePercent(pick(3) * 5)
        , m_lossPercent(pick(3) * 2)
        , m_check(m_rate)
        , m_caches(kHosts, GrantCache({.prefetchThresholdPerSecond = 5}))
        , m_resumes(kHosts + 2, kStart)
    {
        m_limiters.emplace_back(timesOf(0));
        m_limiters.emplace_back(timesOf(1));
        m_limiters[0].adoptFresh({kTeam, 0}, m_rate, kStart);
    }

    bool keepsLimit()
    {
        for (std::size_t host = 0; host < kHosts; ++host) {
            at(kStart + millis(100), [=, this] { arrive(host); });
        }
        at(kStart, [=, this] { renew(0); });
        at(kStart + 10ms, [=, this] { watchLease(); });
        at(kStart + millis(30'000), [=, this] { changeRate(); });
        at(kStart + millis(40'000), [=, this] { failLimiter(); });
        while (!m_events.empty() && m_events.top().when < kEnd) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.when;
            event.run();
        }
        return m_check.isKept();
    }

    std::uint64_t sent() const { return m_sent; }
    bool tookOver() const { return m_tookOver; }

private:
    struct Event {
        Instant when;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair(when, number) > std::pair(other.when, other.number);
        }
    };

    std::uint64_t pick(std::uint64_t bound) { return m_random() % bound; }
    Duration millis(std::uint64_t bound) { return 1ms * pick(bound); }
    bool chance(std::uint64_t percent) { return pick(100) < percent; }

    Rate randomRate()
    {
        return Rate{1000 + pick(200'000), static_cast<std::uint32_t>(1 + pick(30))};
    }

    void at(Instant when, std::function<void()> run)
    {
        m_events.push(Event{when, ++m_lastEvent, std::move(run)});
    }

    // Runs `run` on a node at `when`, or later if the node is paused.
    void onNode(std::size_t node, Instant when, const std::function<void()> &run)
    {
        at(when, [=, this] {
            if (m_resumes[node] > m_now) {
                onNode(node, m_resumes[node], run);
            } else {
                run();
            }
        });
    }

    // Pauses limiter 0, or disconnects it from the object API.
    void failLimiter()
    {
        m_isDisconnected = chance(50);
        if (!m_isDisconnected) {
            pause(kHosts, 2s + millis(10'000));
        }
    }

    // Nodes are numbered: the hosts first, then the two limiters.
    void pause(std::size_t node, Duration length)
    {
        m_resumes[node] = std::max(m_resumes[node], m_now + length);
    }

    // Delivers a message 0, 1 or 2 times, sometimes late.
    void message(std::size_t node, const std::function<void()> &run)
    {
        const std::uint64_t copies = chance(m_lossPercent) ? 0 : chance(5) ? 2 : 1;
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            onNode(node, m_now + 1ms + millis(chance(m_latePercent) ? 1500 : 3), run);
        }
    }

    LimitTimes timesOf(std::size_t limiter) const
    {
        LimitTimes times;
        if (m_disabled == Disabled::Lease && limiter == 0) {
            times.lease = 1h;
        }
        return times;
    }

    void arrive(std::size_t host)
    {
        const std::uint64_t burst = chance(10) ? 1 + pick(40) : 1;
        for (std::uint64_t call = 0; call < burst; ++call) {
            onNode(host, m_now, [=, this] {
                perform(host, m_caches[host].admit(++m_lastTicket, kTeam, m_now));
            });
        }
        if (chance(1)) {
            pause(host, millis(4000));
        }
        at(m_now + millis(60), [=, this] { arrive(host); });
    }

    void perform(std::size_t host, const GrantActions &actions)
    {
        for (const Verdict &verdict : actions.verdicts) {
            if (!verdict.refused) {
                send(host, verdict.permit);
            }
        }
        for (const GrantRequest &ask : actions.grantRequests) {
            const std::size_t limiter = m_tookOver && !chance(20) ? 1 : 0;
            message(kHosts + limiter, [=, this] { answer(limiter, host, ask); });
            onNode(host, m_now + 500ms, [=, this] {
                const Error error(ErrorKind::Unavailable, "the limiter did not answer");
                perform(host, m_caches[host].onFailed(ask, error.withRetryAfter(20ms), m_now));
            });
        }
    }

    void answer(std::size_t limiter, std::size_t host, const GrantRequest &ask)
    {
        const Incarnation name("host-" + std::to_string(host));
        const Result<Grant> result = m_limiters[limiter].acquire(name, ask, m_now);
        message(host, [=, this] {
            perform(host,
                    result ? m_caches[host].onGranted(ask, result.value(), m_now)
                           : m_caches[host].onFailed(ask, result.error(), m_now));
        });
    }

    // A host may be delayed between admission and its last check, and for up to `maxSendDelay`
    // between that check and sending.
    void send(std::size_t host, const Permit &permit)
    {
        if (m_disabled == Disabled::SettleAfterSend) {
            m_caches[host].onSent(kTeam, permit);
        }
        const Duration delay = chance(m_delayPercent) ? millis(m_maxDelayMillis) : millis(2);
        onNode(host, m_now + delay, [=, this] {
            const bool isValid = m_now < permit.expires;
            if (!isValid && m_disabled != Disabled::CheckBeforeSend) {
                m_caches[host].onSent(kTeam, permit);
                return;
            }
            at(m_now + 1us * pick(99'000), [=, this] {
                m_check.onSent(m_now);
                ++m_sent;
                m_caches[host].onSent(kTeam, permit);
            });
        });
    }

    // The lease of limiter 0 is an object; the successor ends the lease by a conditional update.
    void renew(std::size_t limiter)
    {
        const Instant sentAt = m_now;
        at(m_now + 1ms + millis(chance(10) ? 3000 : 20), [=, this] {
            if (limiter == 0 && (m_leaseEnded || m_isDisconnected)) {
                return;
            }
            m_leaseVersion += limiter == 0 ? 1 : 0;
            message(kHosts + limiter, [=, this] { m_limiters[limiter].onLeaseRenewed(sentAt); });
        });
        onNode(kHosts + limiter, m_now + 1s, [=, this] { renew(limiter); });
    }

    void watchLease()
    {
        if (m_leaseVersion != m_seenVersion) {
            m_seenVersion = m_leaseVersion;
            m_seenAt = m_now;
        }
        if (m_now - m_seenAt > 3s) {
            takeOver();
            return;
        }
        at(m_now + 10ms + millis(500), [=, this] { watchLease(); });
    }

    void takeOver()
    {
        const LimitTimes times;
        const Duration wait = m_disabled == Disabled::SuccessorWait ? 0ms : times.successorWait();
        m_leaseEnded = true;
        m_tookOver = true;
        m_limiters[1].adoptAfter({kTeam, 0}, m_rate, std::max(m_seenAt + wait, m_now));
        renew(1);
    }

    void changeRate()
    {
        m_rate = randomRate();
        m_check.setRate(m_rate, m_now);
        m_limiters[0].setRate({kTeam, 0}, m_rate, m_now);
        m_limiters[1].setRate({kTeam, 0}, m_rate, m_now);
        const LimitTimes times;
        at(m_now + times.validity + times.maxSendDelay,
           [=, this] { m_check.lowerCapacity(m_now); });
    }

    std::mt19937_64 m_random;
    Disabled m_disabled;
    Rate m_rate;
    std::uint64_t m_delayPercent;
    std::uint64_t m_maxDelayMillis;
    std::uint64_t m_latePercent;
    std::uint64_t m_lossPercent;
    WindowCheck m_check;
    std::vector<GrantCache> m_caches;
    std::vector<Limiter> m_limiters;
    std::vector<Instant> m_resumes;
    std::priority_queue<Event> m_events;
    Instant m_now = kStart;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_sent = 0;
    Ticket m_lastTicket = 0;
    std::uint64_t m_leaseVersion = 1;
    std::uint64_t m_seenVersion = 0;
    Instant m_seenAt = kStart;
    bool m_leaseEnded = false;
    bool m_isDisconnected = false;
    bool m_tookOver = false;
};

// The first seed that exceeds the limit, or nothing.
std::optional<std::uint64_t> firstSeedThatExceeds(Disabled disabled, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (!Fleet(seed, disabled).keepsLimit()) {
            return seed;
        }
    }
    return std::nullopt;
}

// One host checks its grant just before it expires and sends just before `maxSendDelay` is over,
// while another host asks continuously.
bool keepsLimitAfterLateSends(Duration maxSendDelay)
{
    const Rate rate{20'000, 5};
    const Duration sendDelay = 99ms;
    LimitTimes times;
    times.maxSendDelay = maxSendDelay;
    Limiter limiter(times);
    limiter.onLeaseRenewed(kStart);
    limiter.adoptFresh({kTeam, 0}, rate, kStart);
    const Grant grant =
        limiter.acquire(Incarnation("late"), GrantRequest{kTeam, 0, 1, 0, 5}, kStart).value();
    const Instant sentAt = kStart + grant.validity - 1ns + sendDelay;
    WindowCheck check(rate);
    std::uint64_t number = 0;
    for (Instant now = kStart; now <= sentAt; now += 1ms) {
        const GrantRequest ask{kTeam, 0, ++number, number - 1, 1};
        if (limiter.acquire(Incarnation("other"), ask, now)) {
            check.onSent(now);
        }
    }
    for (std::uint32_t call = 0; call < grant.requests; ++call) {
        check.onSent(sentAt);
    }
    return check.isKept();
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit_property)

BOOST_AUTO_TEST_CASE(noWindowExceedsTheLimit)
{
    std::uint64_t sent = 0;
    std::uint64_t takeovers = 0;
    const bool holds = rc::check("no window exceeds the limit", [&](std::uint32_t seed) {
        Fleet fleet(seed, Disabled::Nothing);
        RC_ASSERT(fleet.keepsLimit());
        sent += fleet.sent();
        takeovers += fleet.tookOver() ? 1 : 0;
    });
    BOOST_TEST(holds);
    BOOST_TEST_MESSAGE(sent << " calls sent, " << takeovers << " takeovers");
    BOOST_TEST(sent > 10'000u);
    BOOST_TEST(takeovers > 50u);
}

BOOST_AUTO_TEST_CASE(eachMechanismIsNeeded)
{
    const std::pair<Disabled, const char *> mechanisms[] = {
        {Disabled::SuccessorWait, "the wait of the successor"},
        {Disabled::Lease, "the lease"},
        {Disabled::CheckBeforeSend, "the check before sending"},
        {Disabled::SettleAfterSend, "settling only after sending"},
    };
    for (const auto &[disabled, name] : mechanisms) {
        const auto seed = firstSeedThatExceeds(disabled, 300);
        BOOST_TEST(seed.has_value(), "without " << name << " the limit was kept");
        BOOST_TEST_MESSAGE("without " << name << ": exceeded at seed " << seed.value_or(0));
    }
}

BOOST_AUTO_TEST_CASE(grantsAreOutstandingUntilTransitIsOver)
{
    BOOST_TEST(keepsLimitAfterLateSends(LimitTimes{}.maxSendDelay));
    BOOST_TEST(!keepsLimitAfterLateSends(0ms));
}

BOOST_AUTO_TEST_SUITE_END()
