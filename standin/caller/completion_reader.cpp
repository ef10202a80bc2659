#include "standin/caller/completion_reader.h"

#include <boost/json.hpp>
#include <string_view>

namespace standin
{

namespace json = boost::json;

namespace
{

constexpr std::string_view kData = "data: ";
constexpr std::string_view kDone = "[DONE]";

class StreamText
{
public:
    void take(std::string_view line)
    {
        if (!line.starts_with(kData)) {
            return;
        }
        const std::string_view data = line.substr(kData.size());
        if (data == kDone) {
            m_done = true;
            return;
        }
        const json::value document = json::parse(json::string_view(data.data(), data.size()));
        for (const json::value &choice : document.at("choices").as_array()) {
            takeChoice(choice.as_object());
        }
    }

    std::optional<std::string> whole() const
    {
        return m_done && m_finished ? std::optional(m_text) : std::nullopt;
    }

private:
    void takeChoice(const json::object &choice)
    {
        const json::value *content = choice.at("delta").as_object().if_contains("content");
        if (content != nullptr && content->is_string()) {
            m_text += std::string_view(content->get_string());
        }
        const json::value *reason = choice.if_contains("finish_reason");
        m_finished = m_finished || (reason != nullptr && reason->is_string());
    }

    std::string m_text;
    bool m_finished = false;
    bool m_done = false;
};

std::optional<std::string> streamText(std::string_view body)
{
    StreamText text;
    std::size_t begin = 0;
    while (begin < body.size()) {
        const std::size_t end = std::min(body.find('\n', begin), body.size());
        text.take(body.substr(begin, end - begin));
        begin = end + 1;
    }
    return text.whole();
}

std::optional<std::string> documentText(const std::string &body)
{
    const json::value document = json::parse(body);
    const json::value &choice = document.at("choices").as_array().at(0);
    return json::value_to<std::string>(choice.at("message").at("content"));
}

} // namespace

std::optional<std::string> completionText(const Reply &reply)
{
    try {
        return reply.contentType.starts_with("text/event-stream") ? streamText(reply.body)
                                                                  : documentText(reply.body);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace standin
