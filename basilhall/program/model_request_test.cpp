#include "basilhall/program/model_request.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::program;

namespace
{

const std::string kFirst = R"({"role":"user","content":"a"})";
const std::string kSecond = R"({"role":"assistant","content":"b"})";

std::string body(const std::string &messages)
{
    return R"({"model":"m","temperature":0.5,"max_tokens":7,"messages":[)" + messages + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(model_request)

BOOST_AUTO_TEST_CASE(membersAreParsed)
{
    const ModelRequest request = parseModelRequest(body(kFirst)).value();
    BOOST_TEST(request.model == "m");
    BOOST_TEST(request.messages == kFirst);
    BOOST_TEST(request.maxTokens.value() == 7);
    BOOST_TEST(!request.stream);
    BOOST_TEST(request.otherMembers == R"("temperature":5E-1)");
}

BOOST_AUTO_TEST_CASE(errorsNameTheInvalidMember)
{
    const std::pair<std::string, std::string> cases[] = {
        {"{", "JSON"},
        {"[]", "object"},
        {R"({"messages":[{"role":"user"}]})", "model"},
        {R"({"model":"m"})", "messages"},
        {R"({"model":"m","messages":[1]})", "messages[0]"},
        {R"({"model":"m","messages":[{"role":"user"}],"max_tokens":0})", "max_tokens"},
        {R"({"model":"m","messages":[{"role":"user"}],"stream":"yes"})", "stream"},
        {R"({"model":"m","messages":[{"role":"user"}],"n":2})", "\"n\""},
    };
    for (const auto &[text, invalidMember] : cases) {
        const auto parsed = parseModelRequest(text);
        BOOST_REQUIRE(!parsed.has_value());
        BOOST_TEST(parsed.error().message().find(invalidMember) != std::string::npos, text);
        BOOST_TEST(parsed.error().notRun());
    }
}

BOOST_AUTO_TEST_CASE(repeatedHistoryIsRemovedFromTheMessages)
{
    const std::string history = kFirst + "," + kSecond;
    const ModelRequest whole = parseModelRequest(body(history + "," + kFirst)).value();
    BOOST_TEST(newMessages(whole, history) == kFirst);
    const ModelRequest fresh = parseModelRequest(body(kFirst)).value();
    BOOST_TEST(newMessages(fresh, history) == kFirst);
    BOOST_TEST(composePrompt(fresh, history, kFirst, 9)
                   .ends_with("\"messages\":[" + history + "," + kFirst + "]}"));
}

BOOST_AUTO_TEST_SUITE_END()
