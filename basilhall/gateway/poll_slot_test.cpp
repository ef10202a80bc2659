#include "basilhall/gateway/poll_slot.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(gateway_poll_slot)

// All gateways start at the same time and the watches of the store deliver nothing. If every
// gateway polled at its own interval, all polls would coincide and none would follow for 19 x 700
// ms.
BOOST_AUTO_TEST_CASE(exactlyOneGatewayPollsInEverySlot)
{
    for (const std::size_t members : {1U, 3U, 19U, 340U}) {
        for (const WallMillis start : std::vector<WallMillis>{0, 123'457, 1'788'222'216'053}) {
            std::vector<WallMillis> polls;
            for (std::size_t rank = 0; rank < members; ++rank) {
                const Duration wait = untilPollSlot(start, 700ms, {rank, members});
                BOOST_TEST((wait > Duration::zero()));
                polls.push_back(
                    start + std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
            }
            std::sort(polls.begin(), polls.end());
            BOOST_TEST(polls.front() - start <= 700);
            for (std::size_t i = 1; i < polls.size(); ++i) {
                BOOST_TEST(polls[i] - polls[i - 1] == 700);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(slotRecursAfterOneRotation)
{
    const FleetPosition place{2, 5};
    const WallMillis first =
        std::chrono::duration_cast<std::chrono::milliseconds>(untilPollSlot(1'000, 700ms, place))
            .count()
        + 1'000;
    BOOST_TEST((untilPollSlot(first, 700ms, place) == 3500ms));
}

BOOST_AUTO_TEST_SUITE_END()
