#include "basilhall/gateway/event_splitter.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall::gateway;

BOOST_AUTO_TEST_SUITE(event_splitter)

BOOST_AUTO_TEST_CASE(eventsAreCompleteWhereverTheInputIsSplit)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata:c\r\n\r\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        std::string text;
        std::string data;
        std::uint64_t lastId = 0;
        for (const std::string &part : {stream.substr(0, cut), stream.substr(cut)}) {
            splitter.feed(part);
            while (const auto event = splitter.next()) {
                text += event->text;
                data += event->data;
                BOOST_TEST(*event->id == lastId + 1);
                lastId = *event->id;
            }
        }
        BOOST_TEST(text == stream);
        BOOST_TEST(data == "a\nb\nc\n");
        BOOST_TEST(!splitter.hasPartialEvent());
    }
}

BOOST_AUTO_TEST_CASE(incompleteEventIsNotReturned)
{
    EventSplitter splitter;
    splitter.feed("data: a\n\ndata: b\n");
    BOOST_TEST(splitter.next()->data == "a\n");
    BOOST_TEST(!splitter.next());
    BOOST_TEST(splitter.hasPartialEvent());
    splitter.reset();
    BOOST_TEST(!splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_SUITE_END()
