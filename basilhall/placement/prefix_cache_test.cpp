#include "basilhall/placement/prefix_cache.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall::placement;

BOOST_AUTO_TEST_SUITE(prefix_cache)

BOOST_AUTO_TEST_CASE(cachedTokensCountsLeadingPartsOnly)
{
    PrefixCache cache(1000);
    cache.add({{1, 100}, {2, 50}});
    BOOST_TEST(cache.cachedTokens({{1, 100}, {2, 80}, {3, 10}}) == 150U);
    BOOST_TEST(cache.cachedTokens({{1, 100}, {3, 10}, {2, 50}}) == 100U);
    BOOST_TEST(cache.cachedTokens({{3, 10}, {1, 100}}) == 0U);
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedPartsAreEvicted)
{
    PrefixCache cache(300);
    cache.add({{1, 100}, {2, 100}});
    cache.add({{1, 100}, {3, 100}});
    cache.add({{1, 100}, {4, 100}});
    BOOST_TEST(cache.cachedTokens({{1, 100}, {2, 100}}) == 100U);
    BOOST_TEST(cache.cachedTokens({{1, 100}, {4, 100}}) == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
