// Maintains the view of the other entry hosts by reading the platform's host list and probing the
// hosts.
//
//     prober.start();
//     const std::vector<Address> peers = prober.livePeers();
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/http/client.h"
#include "basilhall/membership/host_view.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace basilhall::entry
{

// Control thread only.
class PeerProber
{
public:
    // Called with the address and the reply of each peer that answers a probe.
    using AnswerHandler = std::function<void(const Address &peer, const wire::PingReply &)>;

    PeerProber(boost::asio::any_io_executor control, HostName self,
               transport::StreamClient &streams, http::Client &client,
               std::optional<Address> hostList, std::function<Instant()> now, std::uint64_t seed,
               AnswerHandler onAnswer);
    ~PeerProber();
    PeerProber(const PeerProber &) = delete;
    PeerProber &operator=(const PeerProber &) = delete;

    void start();
    void stop();
    membership::HostView &view();
    // Returns the addresses of the peers whose state is Live.
    std::vector<Address> livePeers() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::entry
