#include "basilhall/agent/load_report_publisher.h"

namespace basilhall::agent
{

LoadReportPublisher::LoadReportPublisher(const boost::asio::any_io_executor &executor)
    : m_changed(executor)
{
}

void LoadReportPublisher::publish(const wire::LoadReport &report)
{
    m_newest = report;
    ++m_version;
    m_changed.notify();
}

void LoadReportPublisher::close()
{
    m_closed = true;
    m_changed.notify();
}

boost::asio::awaitable<void>
LoadReportPublisher::serve(std::shared_ptr<transport::ServerStream> stream)
{
    const auto isCancelled = std::make_shared<bool>(false);
    stream->onCancelled([this, isCancelled] {
        *isCancelled = true;
        m_changed.notify();
    });
    std::uint64_t sent = 0;
    while (!*isCancelled) {
        if (sent != m_version) {
            sent = m_version;
            const Result<void> written = co_await stream->send(m_newest.SerializeAsString());
            if (!written) {
                co_return;
            }
        } else if (m_closed) {
            (void)co_await stream->finish();
            co_return;
        } else {
            co_await m_changed.wait();
        }
    }
}

} // namespace basilhall::agent
