// Counts a request against the limit of its team.
//
//     const Result<void> admitted = co_await admitByTeam(state, context);
#pragma once

#include "basilhall/base/result.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace basilhall::gateway
{

class FleetState;
struct CallContext;

// Requests of programs in progress wait up to kMaxLimitWait for the limit of their team: a program
// that is refused halfway loses its work. Others are refused at once. RateLimited if the limit is
// reached, Cancelled if the caller disconnects meanwhile. `state` must outlive the call.
boost::asio::awaitable<Result<void>> admitByTeam(FleetState &state,
                                                 std::shared_ptr<CallContext> context);

} // namespace basilhall::gateway
