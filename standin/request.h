// One HTTP request as a stand-in sees it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace standin
{

// One header field; the name is in lower case.
struct HeaderField {
    std::string name;
    std::string value;
};

struct Request {
    std::string method;
    // Path without the query.
    std::string path;
    // Text after the '?', empty if there is none.
    std::string query;
    std::vector<HeaderField> headers;
    std::string body;

    // Returns the value of the field with this lower-case name, or an empty text.
    std::string header(std::string_view name) const;
    // Returns the value of the query parameter, or an empty text. Does not decode '%'.
    std::string parameter(std::string_view name) const;
};

} // namespace standin
