// The part of an endpoint's request limit that one gateway may use without asking the others.
//
// Gateways that list the same hosts compute parts that add up to the limit. A gateway's part must
// hold whole requests, so a low limit is divided among a few gateways only, which rendezvous
// hashing selects for each endpoint: with one request a gateway in stock, a large fleet would
// exceed it.
//
//     const RateShare share = rateShare(endpoint.name, 5.5, self, hosts);
#pragma once

#include "basilhall/base/identifier.h"

#include <compare>
#include <cstddef>
#include <set>
#include <vector>

namespace basilhall::placement
{

// Immutable value.
struct RateShare {
    // Requests a second. 0 if other gateways hold the limit of the endpoint.
    double perSecond = 0;
    // Requests that may be sent at once.
    double burst = 0;

    auto operator<=>(const RateShare &) const = default;
};

// Endpoints with a lower limit, and those that state 0, get this many requests a second: without
// any request, the end of their limit would not be seen.
inline constexpr double kMinRequestLimit = 0.25;

// `perSecond` is the limit of the endpoint, `hosts` are those of all gateways; `self` counts as one
// of them.
RateShare rateShare(const EndpointName &endpoint, double perSecond, const HostName &self,
                    const std::set<HostName> &hosts);

// The gateway's part of `requests` that all gateways together may send within a window of time, as
// whole requests. The parts of gateways that list the same hosts add up to `requests`; rendezvous
// hashing selects those that get one more than others, or any at all.
std::size_t wholeShare(const EndpointName &endpoint, std::size_t requests, const HostName &self,
                       const std::set<HostName> &hosts);

// Returns the hosts that have a part of the limit, for which rateShare() is not 0.
std::vector<HostName> shareHolders(const EndpointName &endpoint, double perSecond,
                                   const std::set<HostName> &hosts);

} // namespace basilhall::placement
