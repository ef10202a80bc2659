// Converts the result of "/resolve" to its wire format.
//
//     stream->send(toReply(resolution).SerializeAsString());
#pragma once

#include "basilhall/dispatch/resolution.h"

namespace basilhall::agent::internal
{

wire::ResolveReply toReply(const dispatch::Resolution &resolution);

} // namespace basilhall::agent::internal
