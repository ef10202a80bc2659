// Registers a gateway in the object API and passes all registered gateways to the mesh, which
// connects to them.
//
//     Membership membership(executor, self, access, mesh, log);
//     membership.join();
//     membership.setAll(members);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/member.h"
#include "basilhall/gateway/peer_mesh.h"
#include "basilhall/gateway/store_access.h"
#include "basilhall/logging/log.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe: use from its executor. The mesh must outlive it.
class Membership
{
public:
    Membership(const boost::asio::any_io_executor &executor, Member self, StoreAccess access,
               PeerMesh &mesh, logging::Log log);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    // Writes the registration of this gateway, and retries until that succeeds.
    void join();
    // Removes the registration of this gateway; calls `done` once, also on failure.
    void leave(std::function<void()> done);

    // Apply registrations from the object API. Of each host, the process that is subscribed to this
    // gateway is the member, also without a registration or with that of another process: it runs,
    // although it cannot register or was silent, and a list may be older than its subscription.
    void setAll(const std::vector<Member> &members);
    void set(const Member &member);
    // Applies the registration that a peer sent with its subscription.
    void onSubscribed(const Member &member);
    void remove(const HostName &host);
    // Reads all registrations from the object API and applies them.
    boost::asio::awaitable<Result<void>> refresh();
    // Drops members without a registration whose subscription has ended; call it periodically.
    void dropUnsubscribed();
    // Returns the registered gateways.
    std::vector<Member> registered() const;

    // Several times the restart time of a host. Until then, the limit share of a silent peer is
    // unused.
    static constexpr Duration kSilenceLimit = std::chrono::seconds(8);
    // Time after which the next gateway in rank removes a registration that the previous one has
    // not removed.
    static constexpr Duration kTakeoverDelay = std::chrono::seconds(2);

    // Removes the registrations of processes that have sent no updates for `silence` and are not
    // subscribed here. One gateway does so for all that it is connected to.
    void removeSilentMembers(Duration silence = kSilenceLimit);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
