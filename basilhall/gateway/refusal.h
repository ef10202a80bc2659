// Builds the answer to a request that the gateway refuses or fails.
//
//     co_await exchange->respond(refusal(error));
//
// Statuses that promise that the request has not run are used only for errors that state it.
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/http/message.h"

namespace basilhall::gateway
{

// Returns the HTTP status for `error`.
int refusalStatus(const Error &error);

// Returns the complete answer, with Retry-After if the error has a retry time and the request has
// not run.
http::Response refusal(const Error &error);

} // namespace basilhall::gateway
