// Translates errors to and from their form between processes.
#pragma once

#include "basilhall/base/error.h"

namespace basilhall::wire
{

class ErrorReply;

ErrorReply toReply(const Error &error);

// A kind that this version does not know becomes Internal, with the name in the message.
Error fromReply(const ErrorReply &reply);

} // namespace basilhall::wire
