#include "basilhall/gateway/snapshot_writer.h"

#include <utility>

namespace basilhall::gateway
{

class SnapshotWriter::Private : public std::enable_shared_from_this<SnapshotWriter::Private>
{
public:
    Private(StoreAccess a, store::ObjectKey k)
        : access(std::move(a))
        , key(std::move(k))
    {
    }

    void send()
    {
        store::Request request = version.empty()
            ? store::Request(store::Create{key, data})
            : store::Request(store::Update{key, data, version});
        access(std::move(request), [self = shared_from_this()](const store::Outcome &outcome) {
            if (outcome && !outcome.value().empty()) {
                self->version = outcome.value().front().version;
                self->finish(true);
            } else if (!outcome && outcome.error().kind() == ErrorKind::StoreConflict) {
                // An earlier write took effect although its answer was lost.
                self->readVersion();
            } else {
                if (!outcome && outcome.error().kind() == ErrorKind::NotFound) {
                    // Removed by a gateway that considered this one lost.
                    self->version = store::ResourceVersion();
                }
                self->finish(false);
            }
        });
    }

    void readVersion()
    {
        access(store::Read{key}, [self = shared_from_this()](const store::Outcome &outcome) {
            if (outcome && !outcome.value().empty()) {
                self->version = outcome.value().front().version;
            }
            self->finish(false);
        });
    }

    void finish(bool isDurable)
    {
        if (const auto handler = std::exchange(done, nullptr)) {
            handler(isDurable);
        }
    }

    StoreAccess access;
    store::ObjectKey key;
    std::string data;
    store::ResourceVersion version;
    // Set while a write is in progress.
    std::function<void(bool)> done;
};

SnapshotWriter::SnapshotWriter(StoreAccess access, store::ObjectKey key)
    : d(std::make_shared<Private>(std::move(access), std::move(key)))
{
}

SnapshotWriter::~SnapshotWriter() = default;

bool SnapshotWriter::write(std::string data, std::function<void(bool)> done)
{
    if (d->done) {
        return false;
    }
    d->data = std::move(data);
    d->done = std::move(done);
    d->send();
    return true;
}

bool SnapshotWriter::isWriting() const
{
    return d->done != nullptr;
}

} // namespace basilhall::gateway
