// The answer to a caller whose request the gateway itself ends.
//
// Statuses that promise "not run" are used only for errors that state it.
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/http/message.h"

namespace basilhall::gateway
{

// Returns the status that tells the truth about `error`.
int refusalStatus(const Error &error);

// Returns the whole answer, with Retry-After where the error has it.
http::Response refusal(const Error &error);

} // namespace basilhall::gateway
