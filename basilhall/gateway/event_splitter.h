// Cuts a stream of server-sent events into whole events, so that none is passed on in part.
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
    // As it came, with the blank line that ends it.
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
    // Returns the next whole event, if any.
    std::optional<StreamEvent> next();
    // True if bytes of an unfinished event are left.
    bool hasRest() const { return m_begin < m_bytes.size(); }
    // Forgets an unfinished event.
    void reset();

private:
    std::string m_bytes;
    // Start of the first event not returned yet.
    std::size_t m_begin = 0;
    // Lines before this one are no end of an event.
    std::size_t m_line = 0;
};

} // namespace basilhall::gateway
