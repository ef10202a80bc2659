#include "basilhall/agent/sse_parser.h"

#include "basilhall/agent/completion_builder.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::agent;

BOOST_AUTO_TEST_SUITE(agent_sse)

BOOST_AUTO_TEST_CASE(eventsAreParsedForAnySplitAndLineEnding)
{
    const std::string stream = ": hello\n\ndata: one\n\nevent: x\r\ndata:two\r\ndata: lines\r\n\r\n"
                               "data: three\r\rid: 4\n\n";
    const std::vector<std::string> expected{"one", "two\nlines", "three"};
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        SseParser parser;
        std::vector<std::string> events;
        for (std::size_t offset = 0; offset < stream.size(); offset += step) {
            const auto more = parser.feed(std::string_view(stream).substr(offset, step));
            BOOST_TEST_REQUIRE(more.has_value());
            events.insert(events.end(), more.value().begin(), more.value().end());
        }
        BOOST_TEST(events == expected, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(malformedStreamFailsPermanently)
{
    SseParser notAnEventStream;
    BOOST_TEST(notAnEventStream.feed("<html>\n").has_error());
    BOOST_TEST(notAnEventStream.feed("data: x\n\n").has_error());
    SseParser oversizedEvent;
    Result<std::vector<std::string>> result = oversizedEvent.feed("data: ");
    for (int i = 0; i < 20 && result; ++i) {
        result = oversizedEvent.feed(std::string(100'000, 'x'));
    }
    BOOST_TEST(result.has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(agent_completion)

BOOST_AUTO_TEST_CASE(deltasAreMergedIntoTheMessage)
{
    CompletionBuilder builder;
    const std::vector<std::string> chunks{
        R"({"choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"}}]})",
        R"({"choices":[{"index":1,"delta":{"content":"other choice"}}]})",
        R"({"choices":[{"index":0,"delta":{"content":"lo","tool_calls":[{"index":0,"id":"t1","function":{"name":"book","arguments":"{\"a\":"}}]}}]})",
        R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"1}"}}]},"finish_reason":"tool_calls"}]})",
        R"({"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":5}}})"};
    for (const std::string &chunk : chunks) {
        BOOST_TEST(builder.add(chunk).has_value());
    }
    BOOST_TEST(builder.message()
               == R"({"role":"assistant","content":"Hello","tool_calls":[{"id":"t1","type":)"
                  R"("function","function":{"name":"book","arguments":"{\"a\":1}"}}]})");
    BOOST_TEST(builder.finishReason() == "tool_calls");
    BOOST_TEST(builder.usage().prompt_tokens() == 7U);
    BOOST_TEST(builder.usage().cached_tokens() == 5U);
}

BOOST_AUTO_TEST_CASE(malformedChunksAreEndpointFailures)
{
    for (const char *chunk : {"", "{", "[]", "{}", R"({"choices":1})", R"({"choices":[1]})",
                              R"({"choices":[{"delta":1}]})", R"({"error":{"message":"x"}})",
                              R"({"choices":[{"delta":{"tool_calls":1}}]})",
                              R"({"choices":[{"delta":{"tool_calls":[{"index":99999}]}}]})"}) {
        CompletionBuilder builder;
        const Result<void> added = builder.add(chunk);
        BOOST_TEST_REQUIRE(added.has_error(), chunk);
        BOOST_TEST((added.error().kind() == ErrorKind::EndpointFailed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
