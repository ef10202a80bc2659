#include "basilhall/gateway/internal/durability_waits.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

namespace
{

struct WaitsFixture {
    // Adds `ticket` to `woken` after its wait.
    void start(journal::RecordTicket ticket, Duration timeout)
    {
        boost::asio::co_spawn(
            context, waits.wait(ticket, timeout),
            [this, ticket](const std::exception_ptr &) { woken.push_back(ticket); });
        context.poll();
    }

    boost::asio::io_context context;
    DurabilityWaits waits{context.get_executor()};
    std::vector<journal::RecordTicket> woken;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(durability_waits, WaitsFixture)

BOOST_AUTO_TEST_CASE(onlyWaitsForDurableRecordsAreWoken)
{
    start(1, 5s);
    start(3, 5s);
    start(2, 5s);
    start(2, 5s);
    waits.onDurable(2);
    context.poll();
    BOOST_TEST(woken == (std::vector<journal::RecordTicket>{1, 2, 2}));
    waits.onDurable(3);
    context.poll();
    BOOST_TEST(woken.size() == 4U);
}

BOOST_AUTO_TEST_CASE(waitEndsAfterItsTimeout)
{
    start(1, 5s);
    start(2, 10ms);
    context.run_for(100ms);
    BOOST_TEST(woken == (std::vector<journal::RecordTicket>{2}));
}

BOOST_AUTO_TEST_CASE(allWaitsAreWokenAtOnce)
{
    start(1, 5s);
    start(2, 5s);
    waits.wakeAll();
    context.poll();
    BOOST_TEST(woken.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
