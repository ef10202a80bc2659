// Converts errors to the HTTP responses that callers receive.
//
//     co_await exchange->respond(errorResponse(error));
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/http/message.h"

#include <string>

namespace basilhall::entry
{

// Returns `{"error":{"kind":...,"type":...,"message":...,"not_run":true,"retry_after_ms":...}}`;
// `not_run` is true or absent.
std::string errorDocument(const Error &error);

// Returns the response with the HTTP status of the error kind and, for the kinds that require it,
// a Retry-After header in whole seconds.
http::Response errorResponse(const Error &error);

} // namespace basilhall::entry
