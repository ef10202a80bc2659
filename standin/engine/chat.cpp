#include "standin/engine/chat.h"

#include "basilhall/base/sha256.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

namespace standin
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kTokensPerMessage = 4;
constexpr std::uint64_t kDefaultMaxTokens = 4096;

ChatMessage parseMessage(const json::value &value)
{
    const json::object &fields = value.as_object();
    ChatMessage message;
    message.role = json::value_to<std::string>(fields.at("role"));
    const json::value &content = fields.at("content");
    message.content =
        content.is_string() ? json::value_to<std::string>(content) : json::serialize(content);
    return message;
}

} // namespace

ChatRequest parseChat(const std::string &body)
{
    const json::value document = json::parse(body);
    const json::object &fields = document.as_object();
    ChatRequest request;
    request.model = json::value_to<std::string>(fields.at("model"));
    for (const json::value &message : fields.at("messages").as_array()) {
        request.messages.push_back(parseMessage(message));
    }
    if (request.messages.empty()) {
        throw std::invalid_argument("messages is empty");
    }
    request.maxTokens = kDefaultMaxTokens;
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        if (const json::value *value = fields.if_contains(name)) {
            request.maxTokens = value->to_number<std::uint64_t>();
        }
    }
    if (const json::value *stream = fields.if_contains("stream")) {
        request.stream = stream->as_bool();
    }
    if (const json::value *options = fields.if_contains("stream_options")) {
        const json::value *include = options->as_object().if_contains("include_usage");
        request.includeUsage = include != nullptr && include->as_bool();
    }
    return request;
}

std::uint64_t tokensOf(const ChatMessage &message)
{
    return (message.content.size() + kBytesPerToken - 1) / kBytesPerToken + kTokensPerMessage;
}

std::uint64_t tokensOf(const std::vector<ChatMessage> &messages)
{
    std::uint64_t tokens = 0;
    for (const ChatMessage &message : messages) {
        tokens += tokensOf(message);
    }
    return tokens;
}

std::string digestOf(const std::vector<ChatMessage> &messages)
{
    std::string text;
    for (const ChatMessage &message : messages) {
        text += message.role + '\x1f' + message.content + '\x1e';
    }
    return basilhall::sha256Hex(text).substr(0, 16);
}

std::uint64_t answerTokens(const ChatRequest &request, std::uint64_t defaultTokens)
{
    constexpr std::string_view kMark = "tokens=";
    std::uint64_t wanted = defaultTokens;
    const std::string &last = request.messages.back().content;
    const std::size_t mark = last.rfind(kMark);
    if (mark != std::string::npos) {
        wanted = std::strtoull(last.c_str() + mark + kMark.size(), nullptr, 10);
    }
    return std::clamp<std::uint64_t>(wanted, 1, std::max<std::uint64_t>(request.maxTokens, 1));
}

std::vector<std::string> answerWords(const std::vector<ChatMessage> &messages, std::uint64_t count)
{
    std::vector<std::string> words;
    words.reserve(count);
    words.push_back("digest=" + digestOf(messages));
    for (std::uint64_t i = 1; i + 1 < count; ++i) {
        words.push_back(" w" + std::to_string(i));
    }
    if (count > 1) {
        words.push_back(" end=" + std::to_string(count));
    }
    return words;
}

std::string answerText(const std::vector<ChatMessage> &messages, std::uint64_t count)
{
    std::string text;
    for (const std::string &word : answerWords(messages, count)) {
        text += word;
    }
    return text;
}

} // namespace standin
