// Calls as fast as the answers come, on keep-alive connections, and measures the latency.
#pragma once

#include "standin/caller/caller_options.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standin
{

// One connection makes one call at a time; connection i goes to entry i modulo their number.
class LoadRun
{
public:
    LoadRun(const boost::asio::any_io_executor &executor, const CallerOptions &options);

    // Starts the connections; the figures are complete once the executor has run out of work.
    void start();
    // JSON with calls, failures, seconds, calls a second and percentiles in microseconds.
    std::string report() const;
    std::size_t failures() const { return m_failures; }

private:
    boost::asio::awaitable<void> work(std::size_t connection);

    boost::asio::any_io_executor m_executor;
    const CallerOptions &m_options;
    std::size_t m_begun = 0;
    std::size_t m_failures = 0;
    std::map<int, std::size_t> m_statuses;
    std::vector<std::int64_t> m_latencies;
    std::chrono::steady_clock::time_point m_startedAt;
    std::chrono::steady_clock::time_point m_endedAt;
};

} // namespace standin
