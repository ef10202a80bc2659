#include "basilhall/gateway/event_splitter.h"

#include <charconv>

namespace basilhall::gateway
{

namespace
{

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kIdField = "id:";

std::string_view valueAfter(std::string_view line, std::string_view field)
{
    line.remove_prefix(field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

StreamEvent parse(std::string text)
{
    StreamEvent event;
    event.text = std::move(text);
    std::string_view rest = event.text;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(kDataField)) {
            event.data.append(valueAfter(line, kDataField)).push_back('\n');
        } else if (line.starts_with(kIdField)) {
            const std::string_view value = valueAfter(line, kIdField);
            std::uint64_t id = 0;
            const auto [last, error] =
                std::from_chars(value.data(), value.data() + value.size(), id);
            if (error == std::errc() && last == value.data() + value.size()) {
                event.id = id;
            }
        }
    }
    return event;
}

} // namespace

void EventSplitter::feed(std::string_view bytes)
{
    if (m_eventBegin > 0) {
        m_bytes.erase(0, m_eventBegin);
        m_lineBegin -= m_eventBegin;
        m_eventBegin = 0;
    }
    m_bytes.append(bytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
    while (true) {
        const std::size_t end = m_bytes.find('\n', m_lineBegin);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const std::size_t length = end - m_lineBegin;
        const bool isBlank = length == 0 || (length == 1 && m_bytes[m_lineBegin] == '\r');
        m_lineBegin = end + 1;
        if (isBlank) {
            std::string text = m_bytes.substr(m_eventBegin, m_lineBegin - m_eventBegin);
            m_eventBegin = m_lineBegin;
            return parse(std::move(text));
        }
    }
}

void EventSplitter::reset()
{
    m_bytes.clear();
    m_eventBegin = 0;
    m_lineBegin = 0;
}

} // namespace basilhall::gateway
