// Registers a gateway in the object API, and keeps the mesh connected to all that are registered.
//
//     Membership membership(executor, self, access, mesh, log);
//     membership.join();
//     membership.setAll(members);
#pragma once

#include "basilhall/gateway/member.h"
#include "basilhall/gateway/peer_mesh.h"
#include "basilhall/gateway/store_access.h"
#include "basilhall/logging/log.h"

#include <boost/asio/any_io_executor.hpp>
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

    // Writes the own registration, again and again until it stands.
    void join();
    // Removes the own registration; calls `done` once, also if that fails.
    void leave(std::function<void()> done);

    // What the object API says.
    void setAll(const std::vector<Member> &members);
    void set(const Member &member);
    // What the member itself says.
    void meet(const Member &member);
    void remove(const HostName &host);

    // Removes registrations of gateways that have been silent for long.
    void removeSilent();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
