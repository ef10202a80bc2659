#include "basilhall/agent/sse_parser.h"

namespace basilhall::agent
{

namespace
{

Error malformed(std::string_view reason)
{
    return {ErrorKind::EndpointFailed, "event stream is malformed: " + std::string(reason)};
}

} // namespace

Result<std::vector<std::string>> SseParser::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    if (m_failed) {
        return malformed("an earlier part was malformed");
    }
    for (const char byte : bytes) {
        const bool endsCrLf = m_afterCarriageReturn && byte == '\n';
        m_afterCarriageReturn = byte == '\r';
        if (endsCrLf) {
            continue;
        }
        if (byte == '\n' || byte == '\r') {
            const Result<void> taken = processLine(events);
            if (!taken) {
                m_failed = true;
                return taken.error();
            }
            continue;
        }
        m_line.push_back(byte);
        if (m_line.size() + m_data.size() > kMaxEventBytes) {
            m_failed = true;
            return malformed("an event is too large");
        }
    }
    return events;
}

Result<void> SseParser::processLine(std::vector<std::string> &events)
{
    const std::string line = std::move(m_line);
    m_line.clear();
    if (line.empty()) {
        if (m_hasData) {
            events.push_back(std::move(m_data));
        }
        m_data.clear();
        m_hasData = false;
        return success();
    }
    const std::size_t colon = line.find(':');
    if (colon == 0) {
        return success();
    }
    const std::string_view text(line);
    std::string_view value =
        colon == std::string::npos ? std::string_view() : text.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return processField(text.substr(0, colon), value);
}

Result<void> SseParser::processField(std::string_view name, std::string_view value)
{
    if (name == "data") {
        if (m_hasData) {
            m_data.push_back('\n');
        }
        m_data.append(value);
        m_hasData = true;
        return success();
    }
    if (name == "event" || name == "id" || name == "retry") {
        return success();
    }
    return malformed("a line is not a valid field");
}

} // namespace basilhall::agent
