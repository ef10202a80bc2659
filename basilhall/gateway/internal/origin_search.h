// Asks peers where a stream began.
//
//     const OriginSearch search{executor, request};
//     const auto origin = co_await search.find(addresses, attempt);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/gateway/internal/peer_call.h"
#include "basilhall/resumption/stream_origin.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe.
class OriginSearch
{
public:
    OriginSearch(const boost::asio::any_io_executor &executor, PeerCall call);

    // Asks all at once; nullopt if none of them knows the stream. The object need not outlive the
    // call.
    boost::asio::awaitable<std::optional<resumption::StreamOrigin>> find(std::vector<Address> peers,
                                                                         CallId attempt) const;

private:
    boost::asio::any_io_executor m_executor;
    PeerCall m_call;
};

} // namespace basilhall::gateway
