// Builds the request that dispatches a call to an agent. Not API.
#pragma once

#include "basilhall/owner/internal/owner_state.h"

namespace basilhall::owner::internal
{

// Approximate number of bytes per token, for estimates.
inline constexpr std::size_t kBytesPerToken = 4;

// Returns the dispatch request of the current attempt of `call`. The program must be open. The
// prompt of a model call contains the whole history.
wire::DispatchRequest makeDispatchRequest(const OwnerState &state, const CallQueue &queue,
                                          const Call &call, Instant now);

} // namespace basilhall::owner::internal
