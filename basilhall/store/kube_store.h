// Client of a Kubernetes-style object API over HTTP.
//
//     KubeStore store(executor, client, server, "basilhall", 2s);
//     store.execute(Create{{"journals", "a.1"}, bytes}, [](Outcome outcome) { ... });
//
// An object is a document of /apis/basilhall.dev/v1/namespaces/NAMESPACE/KIND/NAME whose field
// `data` holds the bytes as base64.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/time.h"
#include "basilhall/store/kube_watch.h"
#include "basilhall/store/object_store.h"
#include "basilhall/store/watch_event.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

namespace basilhall::http
{
class Client;
}

namespace basilhall::store
{

// Satisfies ObjectStore. Not thread-safe: use only from its executor, which must run on a single
// thread. The client must outlive every request and watch.
//
// If the connection turns out to be closed, a read, or a write of which no byte was sent, is
// retried once immediately. Otherwise a write is never sent twice.
class KubeStore
{
public:
    // Called for each change. An object that cannot be decoded is reported as Corrupt with its
    // name, and the watch continues.
    using EventHandler = std::function<void(Result<WatchEvent>)>;
    // Called once when the watch ends without a call of stop(): success after its length,
    // StoreConflict if the version is too old (start another watch with an empty version),
    // StoreUnavailable otherwise.
    using EndHandler = std::function<void(Result<void>)>;

    // `timeout` applies to each request, but not to the length of a watch.
    KubeStore(const boost::asio::any_io_executor &executor, http::Client &client, Address server,
              std::string nameSpace, Duration timeout);
    ~KubeStore();
    KubeStore(const KubeStore &) = delete;
    KubeStore &operator=(const KubeStore &) = delete;

    // The API cannot filter by prefix: a List reads the whole kind in pages of kPageObjects, with
    // one call for each page, and returns the matches. Use it only for kinds with few objects.
    void execute(Request request, OutcomeHandler handler);

    // Reports the changes of a kind after `since`. If `since` is empty, first reports all existing
    // objects as added. To continue after the end, pass the version of the last event's object.
    // Costs one call of the API for each `length`, which is rounded up to whole seconds. A dead
    // connection may go undetected until the end of the watch.
    std::unique_ptr<KubeWatch> watch(std::string kind, ResourceVersion since, Duration length,
                                     EventHandler onEvent, EndHandler onEnded);

    // Limits the response for one page to 20 MiB.
    static constexpr int kPageObjects = 20;

private:
    class Private;
    std::shared_ptr<Private> d;
};

static_assert(ObjectStore<KubeStore>);

} // namespace basilhall::store
