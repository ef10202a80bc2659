#include "basilhall/resumption/process_proofs.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::resumption;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(resumption_process_proofs)

BOOST_AUTO_TEST_CASE(proofCoversConnectionsThatWereEstablishedBefore)
{
    const Instant start{};
    const EndpointName endpoint("e");
    ProcessProofs proofs;
    BOOST_TEST(!proofs.contains(endpoint, 1, start));
    proofs.add(endpoint, 1, start + 10s);
    BOOST_TEST(proofs.contains(endpoint, 1, start + 9s));
    BOOST_TEST(proofs.contains(endpoint, 1, start + 10s));
    BOOST_TEST(!proofs.contains(endpoint, 1, start + 11s));
    BOOST_TEST(!proofs.contains(endpoint, 2, start + 9s));
    BOOST_TEST(!proofs.contains(EndpointName("f"), 1, start + 9s));
}

// Answers may arrive in another order than the questions were asked.
BOOST_AUTO_TEST_CASE(latestQuestionCounts)
{
    const Instant start{};
    const EndpointName endpoint("e");
    ProcessProofs proofs;
    proofs.add(endpoint, 2, start + 10s);
    proofs.add(endpoint, 1, start + 5s);
    BOOST_TEST(proofs.contains(endpoint, 2, start + 10s));
    proofs.expire(start + 11s);
    BOOST_TEST(proofs.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
