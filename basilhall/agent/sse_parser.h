// Parses a stream of server-sent events and returns the data of each event.
//
//     Result<std::vector<std::string>> events = parser.feed(bytes);
#pragma once

#include "basilhall/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace basilhall::agent
{

// Maximum size of an event, in bytes.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// Not thread-safe. Buffers at most one event. After an error, every further call fails.
class SseParser
{
public:
    // Parses further bytes and returns the data of the events that they complete. Returns
    // EndpointFailed if an event is too large or a line is not a field of the format.
    Result<std::vector<std::string>> feed(std::string_view bytes);

private:
    Result<void> processLine(std::vector<std::string> &events);
    Result<void> processField(std::string_view name, std::string_view value);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_afterCarriageReturn = false;
    bool m_failed = false;
};

} // namespace basilhall::agent
