#include "basilhall/gateway/internal/subscriber.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace basilhall::gateway;

BOOST_AUTO_TEST_SUITE(subscriber)

BOOST_AUTO_TEST_CASE(messagesAreTakenInTheirOrder)
{
    boost::asio::io_context context;
    Subscriber peer(context.get_executor());
    for (const std::string text : {"a", "b"}) {
        peer.send(std::make_shared<const std::string>(text));
    }
    BOOST_TEST(*peer.takeFirst() == "a");
    BOOST_TEST(*peer.takeFirst() == "b");
    BOOST_TEST(peer.queue.empty());
    BOOST_TEST(!peer.isCancelled);
}

// A peer that was frozen let up to 2,000 messages with turns of the largest size wait for it.
BOOST_AUTO_TEST_CASE(peerThatDoesNotReadHoldsABoundedNumberOfBytes)
{
    boost::asio::io_context context;
    Subscriber peer(context.get_executor());
    const auto turn = std::make_shared<const std::string>(100'000, 't');
    std::size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        peer.send(turn);
        most = std::max(most, peer.queue.size() * turn->size());
    }
    BOOST_TEST(most <= kMaxQueuedBytes);
    BOOST_TEST(peer.isCancelled);
    BOOST_TEST(peer.queue.empty());
}

BOOST_AUTO_TEST_SUITE_END()
