#include "basilhall/program/model_request.h"

#include <boost/json.hpp>

namespace basilhall::program
{

namespace json = boost::json;

namespace
{

constexpr std::size_t kMaxJsonDepth = 32;

Error invalid(const std::string &message)
{
    return Error(ErrorKind::InvalidRequest, message).withNotRun();
}

std::string withoutBrackets(const std::string &text)
{
    return text.substr(1, text.size() - 2);
}

Result<json::object> parseObject(std::string_view body)
{
    json::parse_options options;
    options.max_depth = kMaxJsonDepth;
    boost::system::error_code failure;
    json::value value =
        json::parse(json::string_view(body.data(), body.size()), failure, {}, options);
    if (failure) {
        return invalid("body is not valid JSON: " + failure.message());
    }
    if (!value.is_object()) {
        return invalid("body is not a JSON object");
    }
    return std::move(value.as_object());
}

bool isMessage(const json::value &value)
{
    return value.is_object() && value.as_object().contains("role")
        && value.as_object().at("role").is_string();
}

Result<std::string> takeMessages(json::object &object)
{
    const auto found = object.find("messages");
    if (found == object.end() || !found->value().is_array()) {
        return invalid("member \"messages\" is missing or not an array");
    }
    const json::array &messages = found->value().as_array();
    if (messages.empty()) {
        return invalid("member \"messages\" is empty");
    }
    for (std::size_t i = 0; i < messages.size(); ++i) {
        if (!isMessage(messages[i])) {
            return invalid("messages[" + std::to_string(i) + "] has no \"role\"");
        }
    }
    std::string text = withoutBrackets(json::serialize(messages));
    object.erase(found);
    return text;
}

Result<std::string> takeModel(json::object &object)
{
    const auto found = object.find("model");
    if (found == object.end() || !found->value().is_string()
        || found->value().as_string().empty()) {
        return invalid("member \"model\" is missing or not a string");
    }
    std::string model(found->value().as_string());
    object.erase(found);
    return model;
}

Result<std::optional<std::uint64_t>> takeMaxTokens(json::object &object)
{
    std::optional<std::uint64_t> limit;
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto found = object.find(name);
        if (found == object.end()) {
            continue;
        }
        const json::value &value = found->value();
        if (!value.is_int64() || value.as_int64() < 1) {
            return invalid("member \"" + std::string(name) + "\" is not a positive integer");
        }
        limit = static_cast<std::uint64_t>(value.as_int64());
        object.erase(found);
    }
    return limit;
}

Result<bool> takeStream(json::object &object)
{
    const auto found = object.find("stream");
    if (found == object.end()) {
        return false;
    }
    if (!found->value().is_bool()) {
        return invalid("member \"stream\" is not a boolean");
    }
    const bool stream = found->value().as_bool();
    object.erase(found);
    return stream;
}

} // namespace

Result<ModelRequest> parseModelRequest(std::string_view body)
{
    BOOST_OUTCOME_TRY(json::object object, parseObject(body));
    ModelRequest request;
    BOOST_OUTCOME_TRY(request.model, takeModel(object));
    BOOST_OUTCOME_TRY(request.messages, takeMessages(object));
    BOOST_OUTCOME_TRY(request.maxTokens, takeMaxTokens(object));
    BOOST_OUTCOME_TRY(request.stream, takeStream(object));
    if (const auto choices = object.find("n"); choices != object.end()) {
        if (choices->value() != json::value(1)) {
            return invalid("member \"n\" must be 1");
        }
        object.erase(choices);
    }
    object.erase("stream_options");
    request.otherMembers = withoutBrackets(json::serialize(object));
    return request;
}

std::string newMessages(const ModelRequest &request, std::string_view history)
{
    const std::string_view messages = request.messages;
    const bool repeatsHistory = !history.empty() && messages.size() > history.size()
        && messages.starts_with(history) && messages[history.size()] == ',';
    return std::string(repeatsHistory ? messages.substr(history.size() + 1) : messages);
}

std::string composePrompt(const ModelRequest &request, std::string_view history,
                          std::string_view added, std::uint64_t maxTokens)
{
    std::string document = "{\"model\":" + json::serialize(json::string(request.model));
    document += ",\"max_tokens\":" + std::to_string(maxTokens);
    document += ",\"stream\":true,\"stream_options\":{\"include_usage\":true}";
    if (!request.otherMembers.empty()) {
        document += ',';
        document += request.otherMembers;
    }
    document += ",\"messages\":[";
    document += history;
    if (!history.empty()) {
        document += ',';
    }
    document += added;
    document += "]}";
    return document;
}

} // namespace basilhall::program
