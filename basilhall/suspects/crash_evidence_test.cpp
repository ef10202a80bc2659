#include "basilhall/suspects/crash_evidence.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::suspects;
using namespace std::chrono_literals;

namespace
{

const RequestKey kOne{1};
const RequestKey kTwo{2};
const Instant kStart{1000s};

EndpointProcess process(int number, WallMillis startedAt = 1000)
{
    return {EndpointName("e" + std::to_string(number)), startedAt};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_evidence)

BOOST_AUTO_TEST_CASE(eachProcessCountsOnce)
{
    CrashEvidence evidence;
    evidence.onBroken(kOne, process(1), kStart);
    evidence.onBroken(kOne, process(1), kStart + 1s);
    BOOST_TEST(evidence.suspicion(kOne).ends == 1U);
    evidence.onBroken(kOne, process(1, 5000), kStart + 5s);
    BOOST_TEST(evidence.suspicion(kOne).ends == 2U);
    BOOST_TEST((evidence.suspicion(kOne).lastEnd == kStart + 5s));
}

BOOST_AUTO_TEST_CASE(requestThatRanAtMoreEndsExcusesTheOthers)
{
    CrashEvidence evidence;
    evidence.onBroken(kOne, process(1), kStart);
    evidence.onBroken(kTwo, process(1), kStart);
    BOOST_TEST(evidence.suspicion(kTwo).ends == 1U);
    BOOST_TEST(evidence.suspicion(kTwo).strictEnds == 0U);
    evidence.onBroken(kOne, process(2), kStart + 1s);
    BOOST_TEST(evidence.suspicion(kTwo).ends == 0U);
    BOOST_TEST(evidence.suspicion(kOne).strictEnds == 2U);
}

// The request was let go when sound ones had run at as many ends of other causes.
BOOST_AUTO_TEST_CASE(causeStaysHeldWhateverEndsOthersHave)
{
    CrashEvidence evidence;
    for (int i = 1; i <= 3; ++i) {
        evidence.onBroken(kOne, process(i), kStart);
    }
    for (int i = 1; i <= 5; ++i) {
        evidence.onBroken(kTwo, process(i), kStart);
    }
    BOOST_TEST(evidence.suspicion(kOne).strictEnds == 3U);
    BOOST_TEST(evidence.suspicion(kTwo).ends == 2U);
}

BOOST_AUTO_TEST_CASE(completeRunClearsTheRequest)
{
    CrashEvidence evidence;
    BOOST_TEST(!evidence.onCompleted(kOne, kStart));
    evidence.onBroken(kOne, process(1), kStart);
    BOOST_TEST(evidence.onCompleted(kOne, kStart + 1s));
    BOOST_TEST((evidence.suspicion(kOne) == Suspicion()));
    // The late report of a peer about the run before.
    evidence.merge({kOne, {{process(2), kStart, false}}, std::nullopt, std::nullopt, false},
                   kStart + 2s);
    BOOST_TEST(evidence.suspicion(kOne).ends == 0U);
}

BOOST_AUTO_TEST_CASE(laterAnswerOfTheProcessClearsIt)
{
    CrashEvidence evidence;
    evidence.onBroken(kOne, process(1), kStart);
    BOOST_TEST(evidence.onAnswered(process(1), kStart - 1s) == 0U);
    BOOST_TEST(evidence.suspicion(kOne).ends == 1U);
    BOOST_TEST(evidence.onAnswered(process(1, 5000), kStart + 1s) == 0U);
    BOOST_TEST(evidence.suspicion(kOne).ends == 1U);
    BOOST_TEST(evidence.onAnswered(process(1), kStart + 1s) == 1U);
    BOOST_TEST(evidence.suspicion(kOne).ends == 0U);
    evidence.merge({kOne, {{process(1), kStart, false}}, std::nullopt, std::nullopt, false},
                   kStart + 2s);
    BOOST_TEST(evidence.suspicion(kOne).ends == 0U);
}

BOOST_AUTO_TEST_CASE(successorAtTheSameAddressDoesNotClearTheProcess)
{
    CrashEvidence evidence;
    evidence.onBroken(kOne, process(1), kStart);
    evidence.onRefused(process(1), kStart + 1s);
    BOOST_TEST(evidence.onAnswered(process(1), kStart + 2s) == 0U);
    BOOST_TEST(evidence.suspicion(kOne).ends == 1U);
}

BOOST_AUTO_TEST_CASE(endThatNothingConfirmsIsDropped)
{
    CrashEvidence evidence;
    evidence.onBroken(kOne, process(1), kStart);
    evidence.onBroken(kOne, process(2), kStart);
    evidence.onBroken(kOne, process(3), kStart);
    evidence.onRefused(process(1), kStart + 1s);
    evidence.onRemoved(process(2).name, kStart + 3s);
    evidence.expire(kStart + CrashEvidence::kConfirmTime - 1ms);
    BOOST_TEST(evidence.suspicion(kOne).ends == 3U);
    evidence.expire(kStart + CrashEvidence::kConfirmTime);
    BOOST_TEST(evidence.suspicion(kOne).ends == 2U);
}

// Endpoints that are back under their name before their registration lapses never lose it; the ends
// were dropped one after the other, and the request ran again as if it were new.
BOOST_AUTO_TEST_CASE(laterProcessOfTheEndpointConfirmsTheEnd)
{
    CrashEvidence evidence;
    for (int i = 1; i <= 4; ++i) {
        evidence.onBroken(kOne, process(i), kStart);
    }
    evidence.onBroken(kOne, process(5, 0), kStart);
    evidence.onRegistered(process(1).name, 3000, kStart + 2s);
    evidence.onRegistered(process(2).name, 1000, kStart + 2s);
    evidence.onRegistered(process(3).name, 0, kStart + 2s);
    evidence.onRegistered(process(5).name, 3000, kStart + 2s);
    evidence.expire(kStart + CrashEvidence::kConfirmTime);
    BOOST_TEST(evidence.suspicion(kOne).ends == 1U);
}

BOOST_AUTO_TEST_CASE(mergedFactsAreTheSameInAnyOrderAndNumber)
{
    const RequestFacts first{kOne, {{process(1), kStart, false}}, std::nullopt, kStart, false};
    const RequestFacts second{
        kOne, {{process(2), kStart + 1s, false}}, std::nullopt, kStart + 1s, false};
    CrashEvidence a;
    a.merge(first, kStart);
    a.merge(second, kStart);
    a.merge(first, kStart);
    CrashEvidence b;
    b.merge(second, kStart);
    b.merge(first, kStart);
    BOOST_TEST((a.summary() == b.summary()));
    BOOST_TEST((a.suspicion(kOne) == b.suspicion(kOne)));
    BOOST_TEST(a.suspicion(kOne).ends == 2U);
}

BOOST_AUTO_TEST_CASE(changesAreReportedOnce)
{
    CrashEvidence evidence;
    evidence.onBroken(kOne, process(1), kStart);
    BOOST_TEST(evidence.takeChanges().size() == 1U);
    evidence.onBroken(kOne, process(1), kStart + 1s);
    BOOST_TEST(evidence.takeChanges().empty());
    (void)evidence.onCompleted(kOne, kStart + 2s);
    BOOST_TEST(evidence.takeChanges().size() == 1U);
    BOOST_TEST(evidence.takeChanges().empty());
}

BOOST_AUTO_TEST_CASE(requestsAreForgottenInTime)
{
    CrashEvidence evidence;
    evidence.onBroken(kOne, process(1), kStart);
    evidence.onRefused(process(1), kStart);
    evidence.expire(kStart + CrashEvidence::kRetention - 1ms);
    BOOST_TEST(evidence.size() == 1U);
    evidence.expire(kStart + CrashEvidence::kRetention);
    BOOST_TEST(evidence.size() == 0U);
    BOOST_TEST((evidence.suspicion(kOne) == Suspicion()));
}

BOOST_AUTO_TEST_CASE(fullTableKeepsTheMostDangerousRequests)
{
    CrashEvidence evidence;
    for (int i = 1; i <= 3; ++i) {
        evidence.onBroken(kOne, process(i), kStart);
    }
    for (std::uint64_t i = 0; i < 3 * CrashEvidence::kMaxRequests; ++i) {
        evidence.onBroken(RequestKey{100 + i}, process(static_cast<int>(100 + i)),
                          kStart + std::chrono::milliseconds(i));
    }
    BOOST_TEST(evidence.size() <= CrashEvidence::kMaxRequests);
    BOOST_TEST(evidence.suspicion(kOne).ends == 3U);
    for (int i = 1; i <= 20; ++i) {
        evidence.onBroken(kTwo, process(i), kStart);
    }
    BOOST_TEST(evidence.suspicion(kTwo).ends == CrashEvidence::kMaxEnds);
}

BOOST_AUTO_TEST_SUITE_END()
