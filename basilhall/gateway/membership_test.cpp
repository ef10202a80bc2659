#include "basilhall/gateway/membership.h"

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/testing/mesh_fixture.h"
#include "basilhall/transport/client_stream.h"
#include "basilhall/transport/stream_client.h"

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

const Member kGone{HostName("gone"),
                   Incarnation("gone-1"),
                   {"127.0.0.1", 1},
                   FailureDomain("a"),
                   10};
const store::ObjectKey kGoneKey{kMemberKind, "gone"};

// Memberships of the three gateways, which list a silent fourth one.
struct MembershipFixture : MeshFixture {
    MembershipFixture()
    {
        connect();
        BOOST_REQUIRE(objects.apply(store::Create{kGoneKey, encodeMember(kGone)}).has_value());
        for (const auto &node : {strong, middle, weak}) {
            memberships.push_back(std::make_unique<Membership>(
                context.get_executor(), node->mesh.member(),
                [this, node](const store::Request &request, const store::OutcomeHandler &handler) {
                    const bool isRemoval = std::holds_alternative<store::Remove>(request);
                    removals += isRemoval ? 1 : 0;
                    if (isRemoval && beforeRemoval) {
                        std::exchange(beforeRemoval, nullptr)();
                    }
                    handler(node->isCutFromStore
                                ? Error(ErrorKind::StoreUnavailable, "cut").withNotRun()
                                : objects.apply(request));
                },
                node->mesh, logging::Log()));
            memberships.back()->setAll(
                {strong->mesh.member(), middle->mesh.member(), weak->mesh.member(), kGone});
        }
        flushUntil([this] { return strong->mesh.isHolder() && !weak->mesh.isHolder(); });
        wait(kSilence);
        // Everyone else sends updates.
        int rounds = 0;
        flushUntil([&rounds] { return ++rounds > 5; });
    }

    void removeSilentMembers()
    {
        for (const auto &membership : memberships) {
            membership->removeSilentMembers(kSilence);
        }
    }

    bool isRegistered(const Member &member)
    {
        const auto read = objects.apply(store::Read{kGoneKey});
        return read && read.value().front().data == encodeMember(member);
    }

    // Registers the process that has replaced the silent one.
    void registerSuccessor()
    {
        const auto version = objects.apply(store::Read{kGoneKey}).value().front().version;
        BOOST_REQUIRE(
            objects.apply(store::Update{kGoneKey, encodeMember(successor), version}).has_value());
    }

    static constexpr Duration kSilence = 300ms;
    const Member successor{HostName("gone"),
                           Incarnation("gone-2"),
                           {"127.0.0.1", 2},
                           FailureDomain("a"),
                           10};
    std::vector<std::unique_ptr<Membership>> memberships;
    std::function<void()> beforeRemoval;
    int removals = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_membership, MembershipFixture)

// In a hunt, 18 gateways made 282 calls to remove the registrations of silent peers.
BOOST_AUTO_TEST_CASE(oneGatewayRemovesTheRegistrationOfASilentPeer)
{
    removeSilentMembers();
    BOOST_TEST(!isRegistered(kGone));
    BOOST_TEST(removals == 1);
}

BOOST_AUTO_TEST_CASE(anotherGatewayRemovesTheRegistrationIfTheFirstCannot)
{
    strong->isCutFromStore = true;
    removeSilentMembers();
    BOOST_TEST(isRegistered(kGone));
    wait(Membership::kTakeoverDelay);
    int rounds = 0;
    flushUntil([&rounds] { return ++rounds > 5; });
    removeSilentMembers();
    BOOST_TEST(!isRegistered(kGone));
}

// One gateway without processor time removed holders that all others were connected to.
BOOST_AUTO_TEST_CASE(gatewayThatReachesFewOthersDoesNotRemoveRegistrations)
{
    weak->mesh.setMembers({});
    std::vector<Member> listed{weak->mesh.member(), kGone};
    for (int i = 0; i < 3; ++i) {
        Member silent = kGone;
        silent.host = HostName("silent-" + std::to_string(i));
        silent.incarnation = Incarnation("silent-" + std::to_string(i));
        listed.push_back(silent);
    }
    Membership &cut = *memberships.back();
    cut.setAll(listed);
    wait(kSilence * 2);
    cut.removeSilentMembers(kSilence);
    BOOST_TEST(isRegistered(kGone));
}

BOOST_AUTO_TEST_CASE(gatewayThatIsSubscribedIsNotRemovedThoughItsUpdatesDoNotArrive)
{
    transport::StreamClient client(context.get_executor());
    wire::Subscribe request;
    *request.mutable_member() = toWire(kGone);
    std::unique_ptr<transport::ClientStream> subscription;
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto stream = co_await client.open(strong->mesh.member().address, "/updates",
                                           request.SerializeAsString(), 1s);
        BOOST_TEST_REQUIRE(stream.has_value());
        subscription = std::move(stream).value();
        (void)co_await subscription->next();
    });
    BOOST_TEST_REQUIRE(strong->mesh.hasSubscriber(kGone.incarnation));
    memberships.front()->removeSilentMembers(kSilence);
    BOOST_TEST(isRegistered(kGone));
    client.close();
}

// The registration was replaced before the removal took effect.
BOOST_AUTO_TEST_CASE(lateRemovalDoesNotHitTheProcessThatHasReplacedTheSilentOne)
{
    beforeRemoval = [this] { registerSuccessor(); };
    removeSilentMembers();
    BOOST_TEST(isRegistered(successor));
}

// The list is older than the registration.
BOOST_AUTO_TEST_CASE(registrationThatIsNotYetListedIsNotRemoved)
{
    registerSuccessor();
    removeSilentMembers();
    BOOST_TEST(isRegistered(successor));
    BOOST_TEST(removals == 0);
}

BOOST_AUTO_TEST_CASE(processThatLeavesDoesNotRemoveTheRegistrationOfItsSuccessor)
{
    Membership leaving(
        context.get_executor(), kGone,
        [this](const store::Request &request, const store::OutcomeHandler &handler) {
            handler(objects.apply(request));
        },
        weak->mesh, logging::Log());
    registerSuccessor();
    bool hasLeft = false;
    leaving.leave([&hasLeft] { hasLeft = true; });
    BOOST_TEST(hasLeft);
    BOOST_TEST(isRegistered(successor));
}

BOOST_AUTO_TEST_SUITE_END()
