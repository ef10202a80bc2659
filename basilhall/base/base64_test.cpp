#include "basilhall/base/base64.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;

BOOST_AUTO_TEST_SUITE(base64)

BOOST_AUTO_TEST_CASE(decodesWhatItEncodes)
{
    std::string bytes;
    for (int size = 0; size < 300; ++size) {
        BOOST_TEST((decodeBase64(encodeBase64(bytes)) == bytes));
        bytes.push_back(static_cast<char>(size * 37));
    }
    BOOST_TEST(encodeBase64("ab") == "YWI=");
    BOOST_TEST((decodeBase64("YWI=") == std::string("ab")));
}

BOOST_AUTO_TEST_CASE(otherTextIsRefused)
{
    for (const char *text : {"YWI", "YW=I", "Y*I=", "====", "YWI=YWI="}) {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(!decodeBase64(text));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
