// A host whose event loop is late must not take its peers for failed.
#include "basilhall/gateway/testing/mesh_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <thread>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

BOOST_FIXTURE_TEST_SUITE(gateway_late_host, MeshFixture)

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

BOOST_AUTO_TEST_SUITE_END()
