#include "basilhall/gateway/internal/turn_search_replies.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;

namespace
{

const Incarnation kSelf("self");
const Incarnation kHolder("holder");
const Incarnation kPeer("peer");

} // namespace

BOOST_AUTO_TEST_SUITE(turn_search_replies)

BOOST_AUTO_TEST_CASE(turnIsUnknownIfACompleteHolderListsOnlyGatewaysThatReplied)
{
    TurnSearchReplies replies(kSelf, 2);
    replies.add(kHolder, true, {kSelf, kHolder, kPeer});
    BOOST_TEST((replies.verdict() == TurnSearch::Incomplete));
    replies.add(kPeer, false, {});
    BOOST_TEST((replies.verdict() == TurnSearch::Unknown));
    BOOST_TEST(replies.completeHolder() == kHolder);
}

BOOST_AUTO_TEST_CASE(searchIsIncompleteIfAHolderListsAGatewayThatWasNotAsked)
{
    TurnSearchReplies replies(kSelf, 1);
    replies.add(kHolder, true, {kSelf, kHolder, kPeer});
    BOOST_TEST((replies.verdict() == TurnSearch::Incomplete));
}

BOOST_AUTO_TEST_CASE(withoutACompleteHolderTheTurnMayBeInAJournal)
{
    TurnSearchReplies replies(kSelf, 1);
    replies.add(kHolder, false, {kSelf, kHolder});
    BOOST_TEST((replies.verdict() == TurnSearch::UnknownToPeers));
    replies.setComplete();
    BOOST_TEST((replies.verdict() == TurnSearch::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
