#include "basilhall/gateway/send_queue.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace basilhall::gateway;

BOOST_AUTO_TEST_SUITE(send_queue)

BOOST_AUTO_TEST_CASE(programsThatHaveBegunGoFirstThenTheOrderOfArrivalCounts)
{
    SendQueue queue;
    const SendQueue::Place other = queue.enter("s", SendRank::Other);
    const SendQueue::Place first = queue.enter("s", SendRank::BegunProgram);
    const SendQueue::Place second = queue.enter("s", SendRank::BegunProgram);
    BOOST_TEST(queue.ahead("s", SendRank::BegunProgram, first) == 0U);
    BOOST_TEST(queue.ahead("s", SendRank::BegunProgram, second) == 1U);
    BOOST_TEST(queue.ahead("s", SendRank::Other, other) == 2U);
    // A request that arrives now.
    BOOST_TEST(queue.ahead("s", SendRank::BegunProgram, {}) == 2U);
    BOOST_TEST(queue.ahead("s", SendRank::Other, {}) == 3U);
    BOOST_TEST(queue.ahead("t", SendRank::Other, {}) == 0U);
}

BOOST_AUTO_TEST_CASE(requestLeavesTheQueueWithItsPlace)
{
    SendQueue queue;
    std::optional<SendQueue::Place> place = queue.enter("s", SendRank::BegunProgram);
    BOOST_TEST(queue.waiting(SendRank::BegunProgram).at("s") == 1U);
    BOOST_TEST(queue.waiting(SendRank::Other).empty());
    place.reset();
    BOOST_TEST(queue.waiting(SendRank::BegunProgram).empty());
    BOOST_TEST(queue.ahead("s", SendRank::Other, {}) == 0U);
}

BOOST_AUTO_TEST_CASE(placeMayOutliveTheQueue)
{
    std::optional<SendQueue> queue(std::in_place);
    const SendQueue::Place place = queue->enter("s", SendRank::Other);
    queue.reset();
    BOOST_TEST(static_cast<bool>(place));
}

BOOST_AUTO_TEST_SUITE_END()
