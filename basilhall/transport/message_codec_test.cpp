#include "basilhall/transport/internal/message_codec.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall::transport;

BOOST_AUTO_TEST_SUITE(message_codec)

BOOST_AUTO_TEST_CASE(messagesAreReadForAnySplit)
{
    std::string bytes;
    appendMessage(bytes, "");
    appendMessage(bytes, "a");
    appendMessage(bytes, std::string(300, 'b'));
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        MessageReader reader;
        for (std::size_t offset = 0; offset < bytes.size(); offset += step) {
            BOOST_TEST(reader.feed(std::string_view(bytes).substr(offset, step)).has_value());
        }
        BOOST_TEST(reader.take().value().empty());
        BOOST_TEST(reader.take().value() == "a");
        BOOST_TEST(reader.take().value() == std::string(300, 'b'));
        BOOST_TEST(!reader.take().has_value());
        BOOST_TEST(!reader.isPartial());
    }
}

BOOST_AUTO_TEST_CASE(oversizedMessageIsRejectedBeforeItIsBuffered)
{
    MessageReader reader;
    BOOST_TEST(reader.feed("\xff\xff\xff\xff").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
