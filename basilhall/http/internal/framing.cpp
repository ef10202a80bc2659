#include "basilhall/http/internal/framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <string>

namespace basilhall::http
{

namespace beast = boost::beast;

namespace
{

Error invalidRequest(std::string_view message)
{
    return Error(ErrorKind::InvalidRequest, message).withNotRun();
}

} // namespace

Result<void> checkFraming(const beast::http::request_header<> &header)
{
    const auto lengths = header.count(beast::http::field::content_length);
    const auto encodings = header.count(beast::http::field::transfer_encoding);
    const auto hosts = header.count(beast::http::field::host);
    if (lengths > 1) {
        return invalidRequest("header \"Content-Length\" is repeated");
    }
    if (encodings > 1) {
        return invalidRequest("header \"Transfer-Encoding\" is repeated");
    }
    if (lengths > 0 && encodings > 0) {
        return invalidRequest(
            "headers \"Content-Length\" and \"Transfer-Encoding\" are mutually exclusive");
    }
    const auto encoding = header[beast::http::field::transfer_encoding];
    if (encodings == 1 && (!beast::iequals(encoding, "chunked") || header.version() < 11)) {
        return invalidRequest("transfer encoding \"" + std::string(encoding)
                              + "\" is not supported");
    }
    if (hosts > 1 || (hosts == 0 && header.version() >= 11)) {
        return invalidRequest("header \"Host\" must appear exactly once");
    }
    return success();
}

} // namespace basilhall::http
