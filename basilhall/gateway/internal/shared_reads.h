// Shares a read of the store among the callers that need one: each gets the result of a read that
// began after its call, and reads begin at an interval at least.
//
//     SharedReads reads(executor, 100ms, [] { return reader.refresh(); });
//     Result<void> done = co_await reads.read();
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace basilhall::gateway
{

// Not thread-safe: use from its executor.
class SharedReads
{
public:
    using Read = std::function<boost::asio::awaitable<Result<void>>()>;

    SharedReads(const boost::asio::any_io_executor &executor, Duration interval, Read read);
    ~SharedReads();
    SharedReads(const SharedReads &) = delete;
    SharedReads &operator=(const SharedReads &) = delete;

    // Returns the error of the read, if it fails.
    boost::asio::awaitable<Result<void>> read();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
