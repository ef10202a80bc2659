// Keeps one object of the object API at the newest content of its only writer.
//
//     SnapshotWriter writer(access, {"ledgers", incarnation});
//     writer.write(data, [](bool isDurable) { ... });
#pragma once

#include "basilhall/gateway/store_access.h"
#include "basilhall/store/object.h"

#include <functional>
#include <memory>
#include <string>

namespace basilhall::gateway
{

// Not thread-safe. Handlers are called on the thread of the store's executor.
class SnapshotWriter
{
public:
    SnapshotWriter(StoreAccess access, store::ObjectKey key);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    // False, without calling `done`, while a write is in progress. Otherwise `done` tells whether
    // the content is durable; after a failure it may be, or become so later.
    bool write(std::string data, std::function<void(bool)> done);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
