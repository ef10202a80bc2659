// Cancels a request of the HTTP client whose response has not started.
//
//     const auto cancellation = std::make_shared<Cancellation>();
//     // in one coroutine
//     auto stream = co_await client.open(address, request, 60s, {.cancellation = cancellation});
//     // elsewhere on the same thread
//     cancellation->cancel();
#pragma once

#include <functional>
#include <utility>

namespace basilhall::http
{

// Not thread-safe.
class Cancellation
{
public:
    // Closes the connection of the request; its operation ends with Cancelled.
    void cancel()
    {
        m_cancelled = true;
        if (const auto handler = std::exchange(m_handler, nullptr)) {
            handler();
        }
    }

    bool isCancelled() const { return m_cancelled; }

    // Called by the client: sets the handler that cancels the operation in progress, or clears it.
    void bind(std::function<void()> handler) { m_handler = std::move(handler); }

private:
    bool m_cancelled = false;
    std::function<void()> m_handler;
};

} // namespace basilhall::http
