// Stops the handling of a request from elsewhere on its thread, for example when the caller
// disconnects or its key is withdrawn.
//
//     interrupt.onTriggered([&stream](const Error &) { stream.cancel(); });
//     interrupt.trigger(Error(ErrorKind::Cancelled, "the caller is gone"));
#pragma once

#include "basilhall/base/error.h"

#include <functional>
#include <optional>
#include <utility>

namespace basilhall::entry
{

// Not thread-safe; belongs to the thread of its request. Triggers once.
class Interrupt
{
public:
    // Calls `handler` when triggered, or immediately if already triggered. Replaces any earlier
    // handler.
    void onTriggered(std::function<void(const Error &)> handler)
    {
        m_handler = std::move(handler);
        if (m_reason) {
            m_handler(*m_reason);
        }
    }

    void trigger(const Error &reason)
    {
        if (m_reason) {
            return;
        }
        m_reason = reason;
        if (m_handler) {
            m_handler(reason);
        }
    }

    // Removes the handler. Call it before objects that the handler captured are destroyed.
    void reset() { m_handler = nullptr; }

    const std::optional<Error> &reason() const { return m_reason; }

private:
    std::optional<Error> m_reason;
    std::function<void(const Error &)> m_handler;
};

} // namespace basilhall::entry
