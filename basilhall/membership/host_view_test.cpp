#include "basilhall/membership/host_view.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace basilhall;
using namespace basilhall::membership;

namespace
{

const HostName kSelf("entry-0");
const HostName kPeer("entry-1");
const Address kAddress{"127.0.0.1", 7000};
const Instant kStart = Instant(std::chrono::hours(1));

struct Fixture {
    HostView view{kSelf};
    Instant now = kStart;

    Fixture() { view.onListed({{kSelf, kAddress}, {kPeer, kAddress}}, now); }

    void fail(int times)
    {
        for (int i = 0; i < times; ++i) {
            view.onProbeFailed(kPeer, now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(host_view, Fixture)

BOOST_AUTO_TEST_CASE(failedProbesMakeAHostSuspectThenDeadAndAnAnswerLive)
{
    BOOST_TEST(view.hosts().size() == 1);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Live));
    fail(HostView::kSuspectAfterFailures);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Suspect));
    fail(HostView::kDeadAfterFailures);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Dead));
    view.onProbeAnswered(kPeer, Incarnation("a"), false, now);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Live));
    BOOST_TEST(view.hosts().front().incarnation.value() == "a");
}

BOOST_AUTO_TEST_CASE(aHostMissingFromTheListStaysLiveWhileItAnswers)
{
    view.onProbeAnswered(kPeer, Incarnation("a"), false, now);
    view.onListed({}, now);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Live));
}

BOOST_AUTO_TEST_CASE(aHostIsLeavingIfTheListOrItsAnswerSaysSo)
{
    view.onListed({{kPeer, kAddress, true}}, now);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Leaving));
    view.onListed({{kPeer, kAddress, false}}, now);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Live));
    view.onProbeAnswered(kPeer, Incarnation("a"), true, now);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Leaving));
    fail(HostView::kDeadAfterFailures);
    BOOST_TEST((view.stateOf(kPeer) == HostState::Dead));
}

BOOST_AUTO_TEST_CASE(aMentionedHostIsDeadOnlyAfterFailedProbes)
{
    const HostName mentioned("entry-9");
    view.onMentioned(mentioned, kAddress, now);
    BOOST_TEST((view.stateOf(mentioned) == HostState::Live));
    int rounds = 0;
    while (view.stateOf(mentioned) != HostState::Dead) {
        for (const EntryHost &target : view.probesDue(now, 0)) {
            if (target.host == mentioned) {
                view.onProbeFailed(mentioned, now);
            }
        }
        now = view.nextWake();
        BOOST_REQUIRE(++rounds <= HostView::kDeadAfterFailures);
    }
    now += HostView::kForgetAfter + HostView::kProbeInterval;
    view.onListed({{kPeer, kAddress}}, now);
    BOOST_TEST(!view.stateOf(mentioned).has_value());
}

BOOST_AUTO_TEST_CASE(probesPerRoundAreBoundedAndReachEveryHost)
{
    std::mt19937_64 random(7);
    constexpr int kHosts = 340;
    std::vector<ListedHost> listed;
    listed.reserve(kHosts);
    for (int i = 0; i < kHosts; ++i) {
        listed.push_back({HostName("host-" + std::to_string(i)), kAddress});
    }
    view.onListed(listed, now);
    std::set<HostName> reached;
    for (int round = 0; round < 1000; ++round) {
        const auto targets = view.probesDue(now, random());
        BOOST_REQUIRE(targets.size() <= HostView::kProbesPerRound + HostView::kUnconfirmedPerRound);
        for (const EntryHost &target : targets) {
            reached.insert(target.host);
            view.onProbeAnswered(target.host, Incarnation("a"), false, now);
        }
        BOOST_TEST(view.probesDue(now, random()).empty());
        now = view.nextWake();
    }
    // The listed hosts, and the one that the fixture listed.
    BOOST_TEST(reached.size() == kHosts + 1);
    BOOST_TEST(view.probesDue(now, random()).size() <= HostView::kProbesPerRound);
}

BOOST_AUTO_TEST_CASE(aWatchedHostIsProbedInEveryRound)
{
    std::vector<ListedHost> listed;
    listed.reserve(100);
    for (int i = 0; i < 100; ++i) {
        listed.push_back({HostName("host-" + std::to_string(i)), kAddress});
        view.onListed(listed, now);
        view.onProbeAnswered(listed.back().host, Incarnation("a"), false, now);
    }
    const HostName watched("host-42");
    view.watch({watched, HostName("unknown")});
    for (int round = 0; round < HostView::kDeadAfterFailures; ++round) {
        int probes = 0;
        for (const EntryHost &target : view.probesDue(now, 0)) {
            probes += target.host == watched ? 1 : 0;
        }
        BOOST_TEST(probes == 1);
        view.onProbeFailed(watched, now);
        now = view.nextWake();
    }
    BOOST_TEST((view.stateOf(watched) == HostState::Dead));
}

BOOST_AUTO_TEST_SUITE_END()
