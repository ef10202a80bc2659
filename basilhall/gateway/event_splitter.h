// Splits a stream of server-sent events into complete events, so that none is forwarded partially.
//
//     EventSplitter splitter;
//     splitter.feed(bytes);
//     while (auto event = splitter.next()) { write(event->text); }
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilhall::gateway
{

// Immutable value.
struct StreamEvent {
    // The bytes as received, including the terminating blank line.
    std::string text;
    // The values of its data lines, each followed by a line feed.
    std::string data;
    std::optional<std::uint64_t> id;

    auto operator<=>(const StreamEvent &) const = default;
};

// Not thread-safe. Lines end with LF or CR LF.
class EventSplitter
{
public:
    void feed(std::string_view bytes);
    // Returns the next complete event, if any.
    std::optional<StreamEvent> next();
    // True if the buffer holds part of an event.
    bool hasPartialEvent() const { return m_eventBegin < m_bytes.size(); }
    // Size of that part.
    std::size_t partialBytes() const { return m_bytes.size() - m_eventBegin; }
    // Memory that it holds.
    std::size_t heldBytes() const { return m_bytes.capacity(); }
    // Discards an incomplete event.
    void reset();

private:
    std::string m_bytes;
    // Start of the first event that has not been returned.
    std::size_t m_eventBegin = 0;
    // Start of the first line that has not been checked for the end of the event.
    std::size_t m_lineBegin = 0;
};

} // namespace basilhall::gateway
