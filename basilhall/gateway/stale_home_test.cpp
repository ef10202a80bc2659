// A home that stood still while another gateway took its place and was lost must not admit turns on
// the totals of before.
#include "basilhall/gateway/testing/mesh_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <thread>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

constexpr std::uint64_t kMaxTurnTokens = 575;
constexpr std::uint64_t kTurns = 4;
constexpr std::uint64_t kBudget = kTurns * kMaxTurnTokens;
// The mesh takes a peer for lost after a silence of this time.
constexpr Duration kSilenceLimit = 2100ms;

// Two holders. The loop of `home`, which is the home of `turn`, stands still unless a test runs it.
struct StaleHomeFixture {
    StaleHomeFixture()
    {
        connect({home, other});
        while (home->state.budgets().home(turn.program) != Incarnation("home-1")) {
            turn.program = ProgramId(turn.program.value() + "p");
            (void)await(homeLoop, home->mesh.askHome(turn));
        }
        BOOST_TEST_REQUIRE(isAdmitted(admit(*home, homeLoop)));
        BOOST_TEST(await(homeLoop, home->keeper.cover(turn.program, 2s)).has_value());
        endTurn(*home);
        runUntil([this] { return !other->state.budgets().isOrphan(turn.program); });
    }

    void connect(const std::vector<std::shared_ptr<MeshNode>> &nodes)
    {
        running = nodes;
        std::vector<Member> members;
        for (const auto &node : nodes) {
            node->keeper.setLoaded();
            node->keeper.setLedgerKnown();
            members.push_back(node->mesh.member());
        }
        for (const auto &node : nodes) {
            node->mesh.setMembers(members);
        }
        runUntil([&] {
            return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) {
                return node->mesh.hasHolderWithLedger() && node->mesh.isHolder();
            });
        });
    }

    // Runs the loops of the gateways that do not stand still for a moment.
    void runOnce()
    {
        for (const auto &node : running) {
            node->mesh.flush();
        }
        poll(loop);
        if (std::find(running.begin(), running.end(), home) != running.end()) {
            poll(homeLoop);
        }
        std::this_thread::sleep_for(2ms);
    }

    static void poll(asio::io_context &context)
    {
        context.restart();
        context.poll();
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const Instant deadline = MonotonicClock().now() + 10s;
        while (!condition() && MonotonicClock().now() < deadline) {
            runOnce();
        }
        BOOST_TEST_REQUIRE(condition());
    }

    template<typename Value>
    static asio::awaitable<void> assign(std::optional<Value> &result, asio::awaitable<Value> work)
    {
        result.emplace(co_await std::move(work));
    }

    template<typename Value>
    Value await(asio::io_context &context, asio::awaitable<Value> work)
    {
        std::optional<Value> result;
        asio::co_spawn(context, assign(result, std::move(work)), asio::detached);
        while (!result) {
            runOnce();
        }
        return *result;
    }

    // Requests admission as the forwarder does.
    Result<turns::Admission> admit(MeshNode &node, asio::io_context &context)
    {
        Result<turns::Admission> admission = turns::Admission::Elsewhere;
        for (int round = 0; round < 4; ++round) {
            admission = node.state.budgets().admit(turn, MonotonicClock().now());
            if (admission.value() == turns::Admission::Orphaned
                || admission.value() == turns::Admission::Elsewhere) {
                admission = await(context, node.mesh.askHome(turn));
                if (isAdmitted(admission)) {
                    node.state.budgets().onGranted(turn, MonotonicClock().now());
                }
            }
            if (!admission || admission.value() == turns::Admission::Admitted
                || admission.value() == turns::Admission::Exhausted) {
                break;
            }
            if (admission.value() == turns::Admission::NeedsRecord) {
                BOOST_TEST(await(context, node.keeper.cover(turn.program, 2s)).has_value());
            }
        }
        return admission;
    }

    static bool isAdmitted(const Result<turns::Admission> &admission)
    {
        return admission && admission.value() == turns::Admission::Admitted;
    }

    static bool isExhausted(const Result<turns::Admission> &admission)
    {
        return admission && admission.value() == turns::Admission::Exhausted;
    }

    void endTurn(MeshNode &node)
    {
        node.state.budgets().settle(turn.program, kMaxTurnTokens, kMaxTurnTokens,
                                    MonotonicClock().now());
    }

    // `home` stands still for longer than peers wait for it, and `successor` admits the rest of the
    // budget.
    void spendDuringStandstill(const std::shared_ptr<MeshNode> &successor)
    {
        running = {successor};
        const Instant begin = MonotonicClock().now();
        runUntil([&] {
            return successor->state.budgets().isOrphan(turn.program)
                && MonotonicClock().now() - begin > kSilenceLimit;
        });
        std::uint64_t admitted = 1;
        while (isAdmitted(admit(*successor, loop))) {
            // In the background, while the turn runs.
            BOOST_TEST(await(loop, successor->keeper.cover(turn.program, 2s)).has_value());
            endTurn(*successor);
            ++admitted;
        }
        BOOST_TEST(admitted == kTurns);
    }

    asio::io_context homeLoop;
    asio::io_context loop;
    store::MemoryStore objects;
    std::shared_ptr<MeshNode> home = std::make_shared<MeshNode>(homeLoop, objects, "home", 200);
    std::shared_ptr<MeshNode> other = std::make_shared<MeshNode>(loop, objects, "other", 190, "b");
    std::shared_ptr<MeshNode> newcomer =
        std::make_shared<MeshNode>(loop, objects, "newcomer", 190, "b");
    std::vector<std::shared_ptr<MeshNode>> running;
    turns::TurnBudget turn{ProgramId("p"), kTeam, kBudget, kMaxTurnTokens};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_stale_home, StaleHomeFixture)

// The request of a caller was read before the end of the connection to the lost gateway.
BOOST_AUTO_TEST_CASE(homeThatStoodStillAdmitsNothingBeforeItsConnectionsAreRead)
{
    spendDuringStandstill(other);
    other->mesh.close();
    const turns::Admission atOnce = home->state.budgets().admit(turn, MonotonicClock().now());
    BOOST_TEST((atOnce != turns::Admission::Admitted));
}

// Seen in review/11: the home was connected to the restarted gateways, but had not read yet what
// the ones before them had admitted, and admitted 3,450 tokens of 2,300.
BOOST_AUTO_TEST_CASE(homeReadsWhatALostSuccessorAdmittedBeforeItAdmits)
{
    spendDuringStandstill(other);
    other->mesh.close();
    connect({home, newcomer});
    BOOST_TEST(isExhausted(admit(*home, homeLoop)));
}

// The same for the turn of another gateway.
BOOST_AUTO_TEST_CASE(homeReadsWhatALostSuccessorAdmittedBeforeItAdmitsForAPeer)
{
    spendDuringStandstill(other);
    other->mesh.close();
    connect({home, newcomer});
    runUntil([this] { return !newcomer->state.budgets().isOrphan(turn.program); });
    BOOST_TEST(isExhausted(admit(*newcomer, loop)));
}

// The successor still runs, and the standstill has ended just now.
BOOST_AUTO_TEST_CASE(homeAppliesWhatAConnectedSuccessorAdmitted)
{
    spendDuringStandstill(other);
    running = {home, other};
    BOOST_TEST(!isAdmitted(admit(*home, homeLoop)));
    runUntil([this] { return home->mesh.hasHolderWithLedger(); });
    BOOST_TEST(isExhausted(admit(*home, homeLoop)));
}

// The successor started during the standstill, so that the home has not heard of it.
BOOST_AUTO_TEST_CASE(homeFindsASuccessorThatStartedDuringItsStandstill)
{
    other->mesh.close();
    newcomer->keeper.setLoaded();
    BOOST_TEST(await(loop, newcomer->keeper.reader().loadLedgers()).has_value());
    newcomer->keeper.setLedgerKnown();
    newcomer->mesh.setMembers({home->mesh.member(), newcomer->mesh.member()});
    spendDuringStandstill(newcomer);
    running = {home, newcomer};
    home->refreshMembers = [this]() -> asio::awaitable<Result<void>> {
        home->mesh.setMembers({home->mesh.member(), newcomer->mesh.member()});
        co_return success();
    };
    BOOST_TEST(!isAdmitted(admit(*home, homeLoop)));
}

// Without the object API, the home cannot know whether another one has taken its place.
BOOST_AUTO_TEST_CASE(homeThatStoodStillRefusesWhileItCannotAsk)
{
    spendDuringStandstill(other);
    running = {home, other};
    home->refreshMembers = []() -> asio::awaitable<Result<void>> {
        co_return Error(ErrorKind::StoreUnavailable, "cut");
    };
    const Result<turns::Admission> refused = admit(*home, homeLoop);
    BOOST_TEST((!refused && refused.error().kind() == ErrorKind::StoreUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()
