#include "basilhall/config/document.h"
#include "basilhall/config/duration_text.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::config;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(config_document)

BOOST_AUTO_TEST_CASE(faultsContainFileLineColumnAndField)
{
    Document document("a.toml", "[outer]\ncount = 0\nextra = 1\n");
    BOOST_REQUIRE(document.isReadable());
    Table outer = std::move(*document.root().table("outer"));
    BOOST_TEST(!outer.unsignedInteger("count", 1, 5).has_value());
    outer.require("needed");
    outer.reportUnknownKeys();
    const Faults faults = document.faults();
    BOOST_REQUIRE(faults.size() == 3U);
    BOOST_TEST(toString(faults[0]) == "a.toml:1:1: outer.needed: is missing");
    BOOST_TEST(toString(faults[1]) == "a.toml:2:9: outer.count: must be from 1 to 5");
    BOOST_TEST(toString(faults[2]) == "a.toml:3:1: outer.extra: is not a known key");
}

BOOST_AUTO_TEST_CASE(syntaxErrorHasAPosition)
{
    const Document document("a.toml", "x = 1\ny = = 2\n");
    BOOST_TEST(!document.isReadable());
    BOOST_REQUIRE(document.faults().size() == 1U);
    BOOST_TEST(document.faults()[0].line == 2U);
}

BOOST_AUTO_TEST_CASE(malformedDocumentsReportOneFaultWithoutCrashing)
{
    for (const char *text : {"[=", "[#", "[.a]", "[", "[[", "[a.", "a.", "a = [", "a = {", "\xff",
                             "a = \"\\", "a = 0x", "a = 1979-", "[a]\n[a]"}) {
        const Document document("a.toml", text);
        BOOST_TEST(!document.isReadable(), text);
        BOOST_TEST(document.faults().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(wrongTypesAreReported)
{
    Document document("a.toml", "s = 1\nn = \"x\"\nb = 2\nl = [1]\nt = 3\nd = \"5\"\na = \"x\"\n");
    Table root = document.root();
    BOOST_TEST(!root.string("s").has_value());
    BOOST_TEST(!root.number("n", 0, 1).has_value());
    BOOST_TEST(!root.boolean("b").has_value());
    BOOST_TEST(!root.strings("l").has_value());
    BOOST_TEST(root.tables("t").empty());
    BOOST_TEST(!root.duration("d", 0s, 1s).has_value());
    BOOST_TEST(!root.address("a").has_value());
    BOOST_TEST(document.faults().size() == 7U);
}

BOOST_AUTO_TEST_CASE(parseDurationRequiresWholeNumberAndUnit)
{
    BOOST_TEST((parseDuration("50 ms").value() == 50ms));
    BOOST_TEST((parseDuration("2min").value() == 2min));
    for (const char *text : {"", "5", "ms", "5 m", "-1 s", "1.5 s", "5 s ", "9999999999999 h"}) {
        BOOST_TEST(!parseDuration(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(parseDurationReadsBackToString)
{
    for (const Duration value : {Duration(0), Duration(50ms), Duration(90s), Duration(2h)}) {
        BOOST_TEST((parseDuration(toString(value)).value() == value));
    }
    BOOST_TEST(toString(Duration(90s)) == "90 s");
}

BOOST_AUTO_TEST_SUITE_END()
