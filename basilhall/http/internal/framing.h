// Validates a request header more strictly than the parser does, to prevent request smuggling.
#pragma once

#include "basilhall/base/result.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace basilhall::http
{

// Returns InvalidRequest unless the body length and the host are each given unambiguously.
Result<void> checkFraming(const boost::beast::http::request_header<> &header);

} // namespace basilhall::http
