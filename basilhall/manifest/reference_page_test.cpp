#include "basilhall/manifest/reference_page.h"

#include "basilhall/manifest/key_spec.h"
#include "basilhall/manifest/parser.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::manifest;

namespace
{

// Returns the faults reported for `key` of `table` if its value has a type that no key accepts.
std::vector<std::string> faultsOf(std::string_view table, std::string_view key)
{
    const std::string head = table.empty() ? "" : "[" + std::string(table) + ".x]\n";
    const std::string field = (table.empty() ? "" : std::string(table) + ".x.") + std::string(key);
    std::vector<std::string> messages;
    for (const config::Fault &fault :
         parse("m", head + std::string(key) + " = 1979-05-27").faults) {
        if (fault.field == field) {
            messages.push_back(fault.message);
        }
    }
    return messages;
}

// Returns the indented example of the page.
std::string exampleOf(const std::string &page)
{
    std::string example;
    std::size_t place = 0;
    while (place < page.size()) {
        const std::size_t end = std::min(page.find('\n', place), page.size());
        const std::string line = page.substr(place, end - place);
        example += line.starts_with("    ") ? line.substr(4) + "\n" : "";
        place = end + 1;
    }
    return example;
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest_reference_page)

BOOST_AUTO_TEST_CASE(parserKnowsEveryKeyOfTheTable)
{
    for (const KeySpec &spec : keyTable()) {
        const std::vector<std::string> faults = faultsOf(spec.table, spec.key);
        BOOST_REQUIRE_MESSAGE(faults.size() == 1U, spec.key);
        BOOST_TEST(faults.front() != "is not a known key", spec.key);
    }
    BOOST_TEST(faultsOf("teams", "colour").front() == "is not a known key");
}

BOOST_AUTO_TEST_CASE(exampleOfThePageHasNoFault)
{
    const config::Faults faults = parse("page", exampleOf(referencePage())).faults;
    for (const config::Fault &fault : faults) {
        BOOST_ERROR(toString(fault));
    }
}

BOOST_AUTO_TEST_SUITE_END()
