// Keeps an event loop busy, so that whatever it handles is late.
//
//     BusyLoop load(context);
//     load.start(20ms, 5ms);
#pragma once

#include "basilhall/base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace basilhall::gateway::testing
{

class BusyLoop
{
public:
    explicit BusyLoop(boost::asio::io_context &context)
        : m_timer(context)
    {
    }

    // Blocks the loop for `busy` after each pause of `idle`, until stop().
    void start(Duration busy, Duration idle)
    {
        m_timer.expires_after(idle);
        m_timer.async_wait([this, busy, idle](boost::system::error_code error) {
            if (!error) {
                std::this_thread::sleep_for(busy);
                start(busy, idle);
            }
        });
    }

    void stop() { m_timer.cancel(); }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace basilhall::gateway::testing
