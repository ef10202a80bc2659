// A host whose event loop is late must not take its peers for failed.
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/testing/busy_loop.h"
#include "basilhall/gateway/testing/mesh_fixture.h"
#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/stream_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

// Sends updates, and answers nothing else.
asio::awaitable<void> hang(std::shared_ptr<transport::ServerStream> stream)
{
    asio::steady_timer pause(co_await asio::this_coro::executor);
    wire::Update update;
    update.set_incarnation("hung-1");
    while (true) {
        if (stream->method() == "/updates" && !co_await stream->send(update.SerializeAsString())) {
            co_return;
        }
        pause.expires_after(20ms);
        (void)co_await pause.async_wait(kTuple);
    }
}

struct LateHostFixture : MeshFixture {
    BusyLoop load{context};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_late_host, LateHostFixture)

// The writer has answered, but the answer is read after the time limit.
BOOST_AUTO_TEST_CASE(recordsAreWrittenOnceThoughTheirAnswerIsReadLate)
{
    connect();
    flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
    BOOST_TEST(keep(*weak, turn("t1")).has_value());
    const int before = strong->calls;
    bool isKept = false;
    const auto keepNext = [&]() -> asio::awaitable<void> {
        const Result<void> kept = co_await weak->keeper.keep(turn("t2"), 5s);
        BOOST_TEST(kept.has_value());
        isKept = true;
    };
    asio::co_spawn(context, keepNext, asio::detached);
    while (strong->calls == before) {
        context.run_one();
    }
    std::this_thread::sleep_for(900ms);
    while (!isKept) {
        context.run_one();
    }
    wait(100ms);
    BOOST_TEST(weak->calls == 0);
    BOOST_TEST(middle->calls == 0);
    BOOST_TEST((weak->keeper.storeFailingFor() == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(recordsDoNotWaitForAWriterThatHangsThoughTheHostIsOftenLate)
{
    transport::StreamServer hung(context.get_executor(), {"127.0.0.1", 0}, hang);
    weak->mesh.setMembers(
        {weak->mesh.member(),
         {HostName("hung"), Incarnation("hung-1"), hung.address(), FailureDomain("a"), 400}});
    flushUntil([this] { return weak->mesh.reachableCount() == 1 && !weak->mesh.isHolder(); });
    load.start(25ms, 30ms);
    std::optional<Result<void>> kept;
    const auto keepTurn = [&]() -> asio::awaitable<void> {
        kept = co_await weak->keeper.keep(turn("t1"), 2s);
    };
    asio::co_spawn(context, keepTurn, asio::detached);
    context.restart();
    context.run_for(4s);
    BOOST_TEST_REQUIRE(kept.has_value());
    BOOST_TEST(kept->has_value());
    BOOST_TEST(weak->calls > 0);
    load.stop();
    hung.close();
}

// The home has granted the turn. If it is asked once more, it grants another one, and the budget
// seems to be used up.
BOOST_AUTO_TEST_CASE(turnIsAdmittedThoughTheAnswerOfItsHomeIsReadLate)
{
    connectWithLoadedHolder();
    turns::TurnBudget asked;
    asked.program = ProgramId("p");
    asked.team = kTeam;
    asked.budget = 1000;
    asked.maxTokens = 10;
    BOOST_TEST((admit(*weak, asked).value() == turns::Admission::Admitted));
    const std::uint64_t before = strong->state.budgets().spent(asked.program);
    std::optional<Result<turns::Admission>> admission;
    const auto ask = [&]() -> asio::awaitable<void> {
        admission = co_await weak->mesh.askHome(asked);
    };
    asio::co_spawn(context, ask, asio::detached);
    context.restart();
    while (strong->state.budgets().spent(asked.program) == before) {
        context.run_one();
    }
    std::this_thread::sleep_for(1200ms);
    while (!admission) {
        context.run_one();
    }
    BOOST_TEST_REQUIRE(admission->has_value());
    BOOST_TEST((admission->value() == turns::Admission::Admitted));
}

BOOST_AUTO_TEST_SUITE_END()
