// Selects the gateways that are told where a stream began. A gateway that a caller comes back to
// selects the same without any exchange.
//
//     const std::vector<HostName> told = originKeepers(attempt, others, kOriginCopies);
#pragma once

#include "basilhall/base/identifier.h"

#include <cstddef>
#include <set>
#include <vector>

namespace basilhall::resumption
{

// Gateways that are told of a stream, besides the one that serves it.
inline constexpr std::size_t kOriginCopies = 2;
// Gateways that are asked: the one that served the stream counts among them, and one more may have
// joined or left meanwhile.
inline constexpr std::size_t kOriginsAsked = kOriginCopies + 2;

// Returns at most `count` of the hosts, by rendezvous hashing.
std::vector<HostName> originKeepers(const CallId &attempt, const std::set<HostName> &hosts,
                                    std::size_t count);

} // namespace basilhall::resumption
