// Writes successive versions of one object to the object API. The object has no other writer.
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

// Not thread-safe. Handlers are called on the executor of the store.
class SnapshotWriter
{
public:
    SnapshotWriter(StoreAccess access, store::ObjectKey key);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    // Starts a write. Returns false without calling `done` if another write is in progress. `done`
    // receives true if the content is durable; after false it may still be or become durable.
    bool write(std::string data, std::function<void(bool)> done);
    bool isWriting() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
