// Keeps the newest manifest in force. Reads it from the object API, and from peers during outages
// of the object API.
//
//     manifests.start();
//     manifests.advance(); // in each iteration of the control loop
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/time.h"
#include "basilhall/entry/kind_watch.h"
#include "basilhall/entry/store_pump.h"
#include "basilhall/manifest/acceptor.h"
#include "basilhall/manifest/loader.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace basilhall::entry
{

// Control thread only. A host has no manifest in force until the object API has answered once, so
// that it never returns to an older manifest than before a restart.
class ManifestDriver
{
public:
    // Called with each manifest that comes into force, and with the reason for each refused one.
    using AcceptHandler = std::function<void(const manifest::ManifestPtr &)>;
    using RefusalHandler = std::function<void(const Error &)>;

    ManifestDriver(boost::asio::any_io_executor control, store::KubeStore &objects, StorePump &pump,
                   store::OperationIdSource &ids, transport::StreamClient &streams,
                   std::function<Instant()> now, AcceptHandler onAccepted,
                   RefusalHandler onRefused);
    ~ManifestDriver();
    ManifestDriver(const ManifestDriver &) = delete;
    ManifestDriver &operator=(const ManifestDriver &) = delete;

    void start();
    void stop();
    // Processes changes since the last call.
    void advance();
    std::optional<Instant> nextWake() const;

    // Fetches the manifest from `peer` if `generation`, which is in force there, is newer.
    void onPeerGeneration(const Address &peer, std::uint64_t generation);
    // Returns the parts of the manifest for a peer; empty if the peer already has this generation.
    std::vector<wire::ManifestPart> parts(const wire::ManifestRequest &request) const;

    std::uint64_t generation() const;
    manifest::ManifestPtr manifest() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::entry
