// Translates between the HTTP messages of the processes and those of Boost.Beast.
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/base/result.h"
#include "basilhall/http/message.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace basilhall::http
{

// True if `text` may stand in a header field or a request line: no control characters.
bool isSafeText(std::string_view text);

Headers toHeaders(const boost::beast::http::fields &fields);

// Whether the connection is kept after an answer, and in which version it is written.
struct AnswerForm {
    // 10 or 11.
    unsigned version = 11;
    bool keepAlive = true;
    // True for HEAD: the header alone is written.
    bool headOnly = false;
};

// Returns the bytes of a whole answer with Content-Length.
std::string encodeResponse(const Response &response, AnswerForm form);
// Returns the header of an answer whose body follows, chunked in version 1.1.
std::string encodeStreamHeader(int status, const Headers &headers, AnswerForm form);
// Returns one chunk of a chunked body.
std::string encodeChunk(std::string_view bytes);
// Returns the bytes of a request, or InvalidRequest if a field holds control characters.
// `host` stands in for a request without the field.
Result<std::string> encodeRequest(const Request &request, std::string_view host);

// Returns the JSON answer to `error`.
Response errorResponse(const Error &error, int status);

} // namespace basilhall::http
