#include "basilhall/placement/endpoint_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>

using namespace basilhall;
using namespace basilhall::placement;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{};
const HostName kSelf("a");

fleet::Endpoint endpointOf(WallMillis startedAt = 5)
{
    fleet::Endpoint endpoint;
    endpoint.name = EndpointName("e");
    endpoint.startedAt = startedAt;
    return endpoint;
}

// The most requests that got through in any 4 s.
class Window
{
public:
    void add(Instant now)
    {
        m_recent.push_back(now);
        while (now - m_recent.front() > 4s) {
            m_recent.pop_front();
        }
        m_most = std::max(m_most, m_recent.size());
    }

    double most() const { return static_cast<double>(m_most); }

private:
    std::deque<Instant> m_recent;
    std::size_t m_most = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_limits)

BOOST_AUTO_TEST_CASE(endpointWithoutALimitGetsEverything)
{
    EndpointLimits limits;
    BOOST_TEST(!limits.onAnswer(endpointOf(), std::nullopt, kStart));
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST(limits.admits(endpointOf(), kStart));
        limits.onSent(endpointOf(), kStart);
    }
    BOOST_TEST(limits.takeChanges().empty());
}

BOOST_AUTO_TEST_CASE(gatewaysThatSendAllTheyMayKeepTheLimitTogether)
{
    constexpr double kLimit = 3.0;
    const std::set<HostName> hosts{kSelf, HostName("b"), HostName("c")};
    std::vector<EndpointLimits> gateways(3);
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways[i].setGateways(*std::next(hosts.begin(), static_cast<long>(i)), hosts, kStart);
        (void)gateways[i].onAnswer(endpointOf(), kLimit, kStart);
    }
    Window window;
    for (Instant now = kStart; now < kStart + 20s; now += 10ms) {
        for (EndpointLimits &gateway : gateways) {
            if (gateway.admits(endpointOf(), now)) {
                gateway.onSent(endpointOf(), now);
                window.add(now);
            }
        }
    }
    BOOST_TEST(window.most() <= 1.5 * 4 * kLimit + 5);
    BOOST_TEST(window.most() >= 4 * kLimit);
}

BOOST_AUTO_TEST_CASE(waitEndsWhenTheNextRequestIsAdmitted)
{
    EndpointLimits limits;
    (void)limits.onAnswer(endpointOf(), 2.0, kStart);
    BOOST_TEST((limits.wait(endpointOf(), kStart) == Duration::zero()));
    limits.onSent(endpointOf(), kStart);
    const std::optional<Duration> wait = limits.wait(endpointOf(), kStart);
    BOOST_TEST_REQUIRE(wait.has_value());
    BOOST_TEST((*wait >= 499ms && *wait <= 501ms));
    BOOST_TEST(!limits.admits(endpointOf(), kStart + *wait - 1ms));
    BOOST_TEST(limits.admits(endpointOf(), kStart + *wait));
}

BOOST_AUTO_TEST_CASE(changedLimitTakesEffectAtOnce)
{
    EndpointLimits limits;
    (void)limits.onAnswer(endpointOf(), 100.0, kStart);
    const Instant later = kStart + 10s;
    BOOST_TEST(limits.onAnswer(endpointOf(), 1.0, later));
    int sent = 0;
    for (; limits.admits(endpointOf(), later); ++sent) {
        limits.onSent(endpointOf(), later);
    }
    BOOST_TEST(sent == 1);
    BOOST_TEST(limits.onAnswer(endpointOf(), std::nullopt, later));
    BOOST_TEST(limits.admits(endpointOf(), later));
    BOOST_TEST(!limits.limitOf(endpointOf()).has_value());
}

BOOST_AUTO_TEST_CASE(limitEndsWithTheProcessThatStatedIt)
{
    EndpointLimits limits;
    (void)limits.onAnswer(endpointOf(5), 0.5, kStart);
    limits.onSent(endpointOf(5), kStart);
    BOOST_TEST(!limits.admits(endpointOf(5), kStart));
    BOOST_TEST(limits.admits(endpointOf(6), kStart));
}

BOOST_AUTO_TEST_CASE(gatewayThatStartsLateLearnsTheLimitFromItsPeers)
{
    EndpointLimits early;
    (void)early.onAnswer(endpointOf(), 2.0, kStart);
    EndpointLimits late;
    for (const auto &[name, stated] : early.statements()) {
        BOOST_TEST(late.onPeerAnswer(name, stated, kStart + 5s));
    }
    BOOST_TEST(late.limitOf(endpointOf()).value_or(0) == 2.0);
    late.onSent(endpointOf(), kStart + 5s);
    BOOST_TEST(!late.admits(endpointOf(), kStart + 5s));
    BOOST_TEST(late.takeChanges().empty());
}

BOOST_AUTO_TEST_CASE(gatewayThatWasPausedDoesNotSendWhatItMissed)
{
    EndpointLimits limits;
    (void)limits.onAnswer(endpointOf(), 2.0, kStart);
    const Instant later = kStart + 60s;
    int sent = 0;
    for (; limits.admits(endpointOf(), later); ++sent) {
        limits.onSent(endpointOf(), later);
    }
    BOOST_TEST(sent == 1);
}

BOOST_AUTO_TEST_CASE(endpointThatTakesNothingIsAskedNowAndThen)
{
    EndpointLimits limits;
    (void)limits.onAnswer(endpointOf(), 0.0, kStart);
    Window window;
    for (Instant now = kStart; now < kStart + 60s; now += 100ms) {
        if (limits.admits(endpointOf(), now)) {
            limits.onSent(endpointOf(), now);
            window.add(now);
        }
    }
    BOOST_TEST(window.most() >= 1);
    BOOST_TEST(window.most() <= 5);
}

BOOST_AUTO_TEST_SUITE_END()
