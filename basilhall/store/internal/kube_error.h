// Maps failed HTTP requests to the errors of store::Outcome.
//
//     co_return errorFromStatus("read shards/0", false, response.status, response.headers);
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/http/message.h"

#include <string>

namespace basilhall::store
{

// Returns the error for a response whose status is not 2xx. `description` describes the request.
Error errorFromStatus(const std::string &description, bool isWrite, int status,
                      const http::Headers &headers);

// Returns the error for a request that got no response.
Error errorFromTransport(const std::string &description, bool isWrite, const Error &error);

} // namespace basilhall::store
