#include "basilhall/gateway/internal/batch_reads.h"

#include "basilhall/transport/signal.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace basilhall::gateway
{

namespace asio = boost::asio;

class BatchReads::Private : public std::enable_shared_from_this<BatchReads::Private>
{
public:
    // A read that requests wait for.
    struct Pending {
        explicit Pending(const asio::any_io_executor &executor)
            : done(executor)
        {
        }

        std::optional<Result<void>> result;
        transport::Signal done;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    Private(const asio::any_io_executor &e, StoreAccess a, Handler handler, std::size_t max)
        : executor(e)
        , access(std::move(a))
        , onBatch(std::move(handler))
        , maxConcurrent(max)
    {
    }

    PendingPtr add(const store::ObjectKey &batch)
    {
        PendingPtr &read = pending[batch];
        if (!read) {
            read = std::make_shared<Pending>(executor);
            waiting.push_back(batch);
        }
        return read;
    }

    void start()
    {
        while (running < maxConcurrent && !waiting.empty()) {
            ++running;
            const store::ObjectKey batch = std::move(waiting.front());
            waiting.pop_front();
            access(store::Read{batch},
                   [weak = weak_from_this(), batch](const store::Outcome &outcome) {
                       if (const auto self = weak.lock()) {
                           self->onRead(batch, outcome);
                       }
                   });
        }
    }

    void onRead(const store::ObjectKey &batch, const store::Outcome &outcome)
    {
        --running;
        if (outcome) {
            for (const store::Object &object : outcome.value()) {
                onBatch(object);
            }
            finish(batch, success());
        } else {
            finish(batch, outcome.error());
            if (outcome.error().kind() == ErrorKind::StoreUnavailable) {
                // Otherwise they would wait for one time limit of the object API after the other.
                for (const store::ObjectKey &other : std::exchange(waiting, {})) {
                    finish(other, outcome.error());
                }
            }
        }
        start();
    }

    void finish(const store::ObjectKey &batch, Result<void> result)
    {
        const PendingPtr read = pending.extract(batch).mapped();
        read->result = std::move(result);
        read->done.notify();
    }

    asio::any_io_executor executor;
    StoreAccess access;
    Handler onBatch;
    std::size_t maxConcurrent;
    std::size_t running = 0;
    std::map<store::ObjectKey, PendingPtr> pending;
    // Batches whose reads have not begun.
    std::deque<store::ObjectKey> waiting;
};

BatchReads::BatchReads(const asio::any_io_executor &executor, StoreAccess access, Handler onBatch,
                       std::size_t maxConcurrent)
    : d(std::make_shared<Private>(executor, std::move(access), std::move(onBatch), maxConcurrent))
{
}

BatchReads::~BatchReads() = default;

asio::awaitable<Result<void>> BatchReads::read(std::set<store::ObjectKey> batches)
{
    const auto self = d;
    std::vector<Private::PendingPtr> reads;
    reads.reserve(batches.size());
    for (const store::ObjectKey &batch : batches) {
        reads.push_back(self->add(batch));
    }
    self->start();
    Result<void> result = success();
    for (const Private::PendingPtr &read : reads) {
        while (!read->result) {
            co_await read->done.wait();
        }
        if (!*read->result) {
            result = *read->result;
        }
    }
    co_return result;
}

} // namespace basilhall::gateway
