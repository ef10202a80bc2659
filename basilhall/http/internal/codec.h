// Converts between the messages of message.h and those of Boost.Beast.
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/base/result.h"
#include "basilhall/http/message.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace basilhall::http
{

// Returns true if `text` is safe in a header field or a request line: it has no control characters
// other than tabs.
bool isSafeText(std::string_view text);

Headers toHeaders(const boost::beast::http::fields &fields);

// How a response is written.
struct ResponseFormat {
    // HTTP version: 10 for 1.0, 11 for 1.1.
    unsigned version = 11;
    // Whether the connection stays open after the response.
    bool keepAlive = true;
    // True for HEAD requests: only the header is written.
    bool headOnly = false;
};

// Returns the bytes of a whole response with Content-Length.
std::string encodeResponse(const Response &response, ResponseFormat format);
// Returns the header of a response whose body follows, chunked in HTTP/1.1.
std::string encodeStreamHeader(int status, const Headers &headers, ResponseFormat format);
// Returns one chunk of a chunked body.
std::string encodeChunk(std::string_view bytes);
// Returns the bytes of a request, or InvalidRequest if a field holds control characters.
// `host` is the default for a request without a Host field.
Result<std::string> encodeRequest(const Request &request, std::string_view host);

// Returns a response that describes `error` as JSON.
Response errorResponse(const Error &error, int status);

} // namespace basilhall::http
