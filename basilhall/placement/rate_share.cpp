#include "basilhall/placement/rate_share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace basilhall::placement
{

namespace
{

// Number of gateways that share a limit: each may hold one request in stock, and those of all, sent
// at once, are to stay well below the requests of 4 s.
constexpr double kBaseGateways = 2.0;
// Time at the gateway's rate that it may hold in stock, beyond one request.
constexpr double kStockSeconds = 0.5;

std::pair<std::size_t, std::string_view> rank(const EndpointName &endpoint, const HostName &host)
{
    return {std::hash<std::string>()(endpoint.value() + "/" + host.value()), host.value()};
}

// Position of `self` among all gateways, counting from 0.
std::size_t position(const EndpointName &endpoint, const HostName &self,
                     const std::set<HostName> &hosts)
{
    const auto own = rank(endpoint, self);
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [&](const HostName &host) {
            return host != self && rank(endpoint, host) < own;
        }));
}

} // namespace

RateShare rateShare(const EndpointName &endpoint, double perSecond, const HostName &self,
                    const std::set<HostName> &hosts)
{
    const double limit = std::max(perSecond, kMinRequestLimit);
    const auto others = static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [&](const HostName &host) { return host != self; }));
    // Compared as floating point, since a limit may exceed every integer type.
    const double sharers =
        std::min(std::floor(limit + kBaseGateways), static_cast<double>(others + 1));
    if (static_cast<double>(position(endpoint, self, hosts)) >= sharers) {
        return {};
    }
    const double part = limit / sharers;
    return {part, std::max(1.0, part * kStockSeconds)};
}

std::size_t wholeShare(const EndpointName &endpoint, std::size_t requests, const HostName &self,
                       const std::set<HostName> &hosts)
{
    const std::size_t gateways = hosts.size() + (hosts.contains(self) ? 0 : 1);
    const bool hasOneMore = position(endpoint, self, hosts) < requests % gateways;
    return requests / gateways + (hasOneMore ? 1 : 0);
}

std::vector<HostName> shareHolders(const EndpointName &endpoint, double perSecond,
                                   const std::set<HostName> &hosts)
{
    const double limit = std::max(perSecond, kMinRequestLimit);
    std::vector<HostName> holders(hosts.begin(), hosts.end());
    std::sort(holders.begin(), holders.end(), [&](const HostName &a, const HostName &b) {
        return rank(endpoint, a) < rank(endpoint, b);
    });
    holders.resize(static_cast<std::size_t>(
        std::min(std::floor(limit + kBaseGateways), static_cast<double>(holders.size()))));
    return holders;
}

} // namespace basilhall::placement
