// Reads journal batches for the requests that need their content: a batch is read once for all
// requests that wait for it, and a limited number at a time, whatever number of requests wait.
//
//     BatchReads reads(executor, access, addTurns, 32);
//     Result<void> done = co_await reads.read({journal::batchKey(incarnation, batch)});
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/store_access.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace basilhall::gateway
{

// Not thread-safe: use from its executor.
class BatchReads
{
public:
    // Receives each batch that was read.
    using Handler = std::function<void(const store::Object &)>;

    BatchReads(const boost::asio::any_io_executor &executor, StoreAccess access, Handler onBatch,
               std::size_t maxConcurrent);
    ~BatchReads();
    BatchReads(const BatchReads &) = delete;
    BatchReads &operator=(const BatchReads &) = delete;

    // Reads the batches, or waits for reads of them that have begun. If the store is unavailable,
    // the reads that have not begun fail, too.
    boost::asio::awaitable<Result<void>> read(std::set<store::ObjectKey> batches);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
