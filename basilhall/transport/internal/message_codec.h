// Encodes and decodes messages in a byte stream. Each message is preceded by its length as four
// bytes, big endian.
//
//     reader.feed(bytes);
//     while (auto message = reader.take()) { ... }
#pragma once

#include "basilhall/base/result.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace basilhall::transport
{

// Maximum size of a message between processes, in bytes.
inline constexpr std::size_t kMaxMessageBytes = 8 * 1024 * 1024;

// Appends the length of `message` and the message to `out`. The size must not exceed
// kMaxMessageBytes.
void appendMessage(std::string &out, std::string_view message);

// Not thread-safe.
class MessageReader
{
public:
    // Parses further bytes. Returns ConnectionLost if a length exceeds kMaxMessageBytes.
    Result<void> feed(std::string_view bytes);
    // Returns the next complete message, if any.
    std::optional<std::string> take();

    bool hasMessage() const { return !m_complete.empty(); }
    // Returns true if the bytes received so far end inside a message.
    bool isPartial() const { return !m_partial.empty(); }

private:
    std::string m_partial;
    std::deque<std::string> m_complete;
};

} // namespace basilhall::transport
