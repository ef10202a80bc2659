#include "basilhall/transport/internal/message_codec.h"

#include <algorithm>

namespace basilhall::transport
{

namespace
{

constexpr std::size_t kLengthBytes = 4;

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (const char byte : bytes.substr(0, kLengthBytes)) {
        length = (length << 8) | static_cast<unsigned char>(byte);
    }
    return length;
}

} // namespace

void appendMessage(std::string &out, std::string_view message)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((message.size() >> shift) & 0xff));
    }
    out.append(message);
}

Result<void> MessageReader::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const bool hasLength = m_partial.size() >= kLengthBytes;
        const std::size_t wanted = hasLength ? kLengthBytes + readLength(m_partial) : kLengthBytes;
        const std::size_t size = std::min(wanted - m_partial.size(), bytes.size());
        m_partial.append(bytes.substr(0, size));
        bytes.remove_prefix(size);
        if (m_partial.size() < kLengthBytes) {
            continue;
        }
        const std::size_t length = readLength(m_partial);
        if (length > kMaxMessageBytes) {
            return Error(ErrorKind::ConnectionLost,
                         "reply of " + std::to_string(length) + " bytes is larger than "
                             + std::to_string(kMaxMessageBytes));
        }
        if (m_partial.size() == kLengthBytes + length) {
            m_partial.erase(0, kLengthBytes);
            m_complete.push_back(std::move(m_partial));
            m_partial.clear();
        }
    }
    return success();
}

std::optional<std::string> MessageReader::take()
{
    if (m_complete.empty()) {
        return std::nullopt;
    }
    std::string message = std::move(m_complete.front());
    m_complete.pop_front();
    return message;
}

} // namespace basilhall::transport
