// A store or a host that is slow, but does not fail, must not make waiting records dearer.
#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/store/memory_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

const TeamName kTeam("bakers");

turns::KeptTurn turn(const std::string &id)
{
    return {turns::TurnId(id),
            kTeam,
            turns::TurnId(),
            "in",
            "out",
            MonotonicClock().wallMillis() + 60'000};
}

// One gateway whose store answers each call after `answerAfter`, or never if that is nullopt.
struct SlowStoreFixture {
    void access(const store::Request &request, const store::OutcomeHandler &handler)
    {
        if (!answerAfter) {
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(context, *answerAfter);
        timer->async_wait([this, timer, request, handler](boost::system::error_code) {
            handler(isFailing ? Error(ErrorKind::StoreUnavailable, "fails")
                              : objects.apply(request));
        });
    }

    // Lets the keeper write its first ledger.
    void writeLedger()
    {
        answerAfter = 0ms;
        keepOne("first", 5s);
        runUntilIdle();
        failed = 0;
        handlers = 0;
    }

    asio::awaitable<void> await(asio::awaitable<Result<void>> keeping)
    {
        const Result<void> kept = co_await std::move(keeping);
        failed += kept ? 0 : 1;
    }

    void start(asio::awaitable<Result<void>> keeping)
    {
        ++running;
        asio::co_spawn(context, await(std::move(keeping)),
                       [this](const std::exception_ptr &) { --running; });
    }

    void keepOne(const std::string &id, Duration timeout) { start(keeper.keep(turn(id), timeout)); }

    void keepForPeer(const std::string &id, Duration timeout)
    {
        journal::Record record;
        record.mutable_turn_kept()->set_turn_id(id);
        record.mutable_turn_kept()->set_team(kTeam.value());
        record.mutable_turn_kept()->set_kept_until_wall_ms(MonotonicClock().wallMillis() + 60'000);
        start(keeper.keepForPeer({record}, timeout));
    }

    void runUntilIdle()
    {
        while (running > 0) {
            handlers += static_cast<int>(context.run_one());
        }
    }

    void setCountingRelay()
    {
        keeper.setRelay([this](std::vector<journal::Record>) -> asio::awaitable<bool> {
            ++relays;
            co_return false;
        });
    }

    // Keeps one record every `interval` for `duration`.
    void keepSeries(Duration interval, Duration duration)
    {
        asio::steady_timer timer(context);
        const Instant end = MonotonicClock().now() + duration;
        for (int number = 0; MonotonicClock().now() < end; ++number) {
            keepOne("s" + std::to_string(number), 5s);
            bool isDue = false;
            timer.expires_after(interval);
            timer.async_wait([&isDue](boost::system::error_code) { isDue = true; });
            while (!isDue) {
                context.run_one();
            }
        }
        runUntilIdle();
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context);
    store::MemoryStore objects;
    metrics::Registry registry;
    std::optional<Duration> answerAfter;
    bool isFailing = false;
    int running = 0;
    int failed = 0;
    int handlers = 0;
    int relays = 0;
    FleetState state{Incarnation("slow-1"), FailureDomain("a")};
    TurnKeeper keeper{context.get_executor(),
                      [this](const store::Request &request, const store::OutcomeHandler &handler) {
                          access(request, handler);
                      },
                      HostName("slow"),
                      state,
                      logging::Log(),
                      registry};
};

// A record starts, waits, times out and ends.
constexpr int kMaxHandlersPerRecord = 12;

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_slow_store, SlowStoreFixture)

// The deadlines of the records pass one after the other while the store does not answer.
BOOST_AUTO_TEST_CASE(costOfAWaitingRecordDoesNotDependOnTheOthers)
{
    writeLedger();
    for (const int records : {400, 4'000}) {
        answerAfter.reset();
        handlers = 0;
        for (int number = 0; number < records; ++number) {
            keepOne("t" + std::to_string(records + number), 300ms + number * 100us);
        }
        runUntilIdle();
        BOOST_TEST(failed == records);
        BOOST_TEST(handlers <= kMaxHandlersPerRecord * records);
        failed = 0;
    }
}

BOOST_AUTO_TEST_CASE(costOfAWaitingRecordOfAPeerDoesNotDependOnTheOthers)
{
    writeLedger();
    for (const int records : {400, 4'000}) {
        answerAfter.reset();
        handlers = 0;
        for (int number = 0; number < records; ++number) {
            keepForPeer("p" + std::to_string(records + number), 300ms + number * 100us);
        }
        runUntilIdle();
        BOOST_TEST(failed == records);
        BOOST_TEST(handlers <= kMaxHandlersPerRecord * records);
        failed = 0;
    }
}

// A record waits for the batch before its own, so that it is durable after more than one call.
BOOST_AUTO_TEST_CASE(recordsAreNotRelayedWhileTheStoreAnswersSlowly)
{
    writeLedger();
    setCountingRelay();
    answerAfter = 110ms;
    keepSeries(2ms, 800ms);
    BOOST_TEST(failed == 0);
    BOOST_TEST(relays == 0);
}

// The answers of the store arrive while the thread does something else.
BOOST_AUTO_TEST_CASE(recordsAreNotRelayedWhileTheHostIsLate)
{
    writeLedger();
    setCountingRelay();
    answerAfter = 5ms;
    for (int round = 0; round < 3; ++round) {
        for (int number = 0; number < 50; ++number) {
            keepOne("l" + std::to_string(round * 50 + number), 5s);
        }
        context.poll();
        std::this_thread::sleep_for(200ms);
        keepSeries(10ms, 100ms);
    }
    BOOST_TEST(failed == 0);
    BOOST_TEST(relays == 0);
}

BOOST_AUTO_TEST_CASE(recordsAreRelayedOnceIfTheStoreDoesNotAnswer)
{
    writeLedger();
    setCountingRelay();
    answerAfter.reset();
    for (int number = 0; number < 20; ++number) {
        keepOne("n" + std::to_string(number), 3s);
    }
    runUntilIdle();
    BOOST_TEST(failed == 20);
    BOOST_TEST(relays == 20);
}

// Before the first ledger is durable, no batch is written.
BOOST_AUTO_TEST_CASE(recordsAreRelayedOnceIfTheFirstLedgerIsRefused)
{
    setCountingRelay();
    answerAfter = 10ms;
    isFailing = true;
    for (int number = 0; number < 20; ++number) {
        keepOne("r" + std::to_string(number), 500ms);
    }
    runUntilIdle();
    BOOST_TEST(failed == 20);
    BOOST_TEST(relays == 20);
}

BOOST_AUTO_TEST_SUITE_END()
