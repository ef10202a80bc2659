// Publishes the newest load report to all subscribed streams.
//
//     publisher.publish(report);
//     co_await publisher.serve(stream);
#pragma once

#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/signal.h"
#include "basilhall/wire/wire.pb.h"

#include <memory>

namespace basilhall::agent
{

// Not thread-safe. Reports are not queued: a slow reader skips to the newest one.
class LoadReportPublisher
{
public:
    explicit LoadReportPublisher(const boost::asio::any_io_executor &executor);

    void publish(const wire::LoadReport &report);
    // Ends all streams cleanly.
    void close();
    const wire::LoadReport &newest() const { return m_newest; }

    // Sends new reports to the stream until the peer cancels it or close() is called.
    boost::asio::awaitable<void> serve(std::shared_ptr<transport::ServerStream> stream);

private:
    transport::Signal m_changed;
    wire::LoadReport m_newest;
    std::uint64_t m_version = 0;
    bool m_closed = false;
};

} // namespace basilhall::agent
