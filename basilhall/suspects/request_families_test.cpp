#include "basilhall/suspects/request_families.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall::suspects;
using namespace basilhall;
using namespace std::chrono_literals;

namespace
{

constexpr RequestKey kFamily{1};
constexpr RequestKey kBody{10};
constexpr RequestKey kOtherBody{11};
const Instant kNow = Instant() + std::chrono::hours(5);

} // namespace

BOOST_AUTO_TEST_SUITE(suspects_request_families)

BOOST_AUTO_TEST_CASE(familyCountsOnceSeveralOfItsBodiesEndedEndpoints)
{
    RequestFamilies families;
    BOOST_TEST(!families.isSuspicious(kFamily, kNow));
    families.onBroken(kFamily, kBody, kNow);
    families.onBroken(kFamily, kBody, kNow);
    BOOST_TEST(!families.isSuspicious(kFamily, kNow));
    families.onBroken(kFamily, kOtherBody, kNow);
    BOOST_TEST(families.isSuspicious(kFamily, kNow));
    BOOST_TEST((families.familyOf(kOtherBody) == kFamily));
    BOOST_TEST(!families.familyOf(RequestKey{12}).has_value());
}

BOOST_AUTO_TEST_CASE(completeRunSpeaksForTheFamilyForAWhile)
{
    RequestFamilies families;
    families.onCompleted(kFamily, kNow);
    families.onBroken(kFamily, kBody, kNow);
    families.onBroken(kFamily, kOtherBody, kNow);
    BOOST_TEST(!families.isSuspicious(kFamily, kNow));
    BOOST_TEST(families.isSuspicious(kFamily, kNow + RequestFamilies::kSoundTime));
}

BOOST_AUTO_TEST_CASE(familiesAreForgotten)
{
    RequestFamilies families;
    families.onBroken(kFamily, kBody, kNow);
    families.expire(kNow + RequestFamilies::kRetention);
    BOOST_TEST(families.size() == 0U);
    BOOST_TEST(!families.familyOf(kBody).has_value());
    for (std::uint64_t i = 0; i <= RequestFamilies::kMaxFamilies; ++i) {
        families.onBroken({i}, {i + 100'000}, kNow + std::chrono::milliseconds(i));
    }
    BOOST_TEST(families.size() == RequestFamilies::kMaxFamilies);
    BOOST_TEST(!families.familyOf({100'000}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
