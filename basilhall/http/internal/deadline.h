// Cancels the pending operations of a socket if they do not complete within a timeout.
//
//     deadline.arm(5s);
//     auto [error, bytes] = co_await socket.async_read_some(buffer, kTuple);
//     deadline.disarm();
//     if (deadline.hasPassed()) { ... }
#pragma once

#include "basilhall/base/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace basilhall::http
{

// Not thread-safe. The socket must outlive it; a timer that fires after its destruction does
// nothing.
class Deadline
{
public:
    explicit Deadline(boost::asio::ip::tcp::socket &socket);
    ~Deadline();
    Deadline(const Deadline &) = delete;
    Deadline &operator=(const Deadline &) = delete;

    // Replaces the previous timeout and resets hasPassed().
    void arm(Duration timeout);
    void disarm();
    bool hasPassed() const { return m_passed; }

private:
    boost::asio::ip::tcp::socket &m_socket;
    boost::asio::steady_timer m_timer;
    // Counts calls of arm() and disarm(), so that the handler of a timer that has already expired
    // is recognised as stale.
    std::uint64_t m_generation = 0;
    bool m_passed = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace basilhall::http
