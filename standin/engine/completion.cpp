#include "standin/engine/completion.h"

#include <boost/json.hpp>

namespace standin
{

namespace json = boost::json;

namespace
{

json::object usageObject(const CompletionUsage &usage)
{
    return json::object{
        {"prompt_tokens", usage.promptTokens},
        {"completion_tokens", usage.completionTokens},
        {"total_tokens", usage.promptTokens + usage.completionTokens},
        {"prompt_tokens_details", json::object{{"cached_tokens", usage.cachedTokens}}}};
}

std::string event(const std::string &id, const std::string &model, json::array choices,
                  json::value usage)
{
    json::object chunk{{"id", id},
                       {"object", "chat.completion.chunk"},
                       {"created", 0},
                       {"model", model},
                       {"choices", std::move(choices)}};
    if (!usage.is_null()) {
        chunk["usage"] = std::move(usage);
    }
    return "data: " + json::serialize(chunk) + "\n\n";
}

json::object choice(json::object delta, json::value finishReason)
{
    return json::object{
        {"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finishReason)}};
}

} // namespace

std::string completionDocument(const std::string &id, const std::string &model,
                               const std::string &text, const CompletionUsage &usage)
{
    const json::object message{{"role", "assistant"}, {"content", text}};
    const json::object first{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    json::array choices;
    choices.push_back(first);
    return json::serialize(json::object{{"id", id},
                                        {"object", "chat.completion"},
                                        {"created", 0},
                                        {"model", model},
                                        {"choices", choices},
                                        {"usage", usageObject(usage)}});
}

std::string completionChunk(const std::string &id, const std::string &model, std::string_view text)
{
    json::array choices;
    choices.push_back(choice(json::object{{"content", text}}, nullptr));
    return event(id, model, std::move(choices), nullptr);
}

std::string finishChunk(const std::string &id, const std::string &model)
{
    json::array choices;
    choices.push_back(choice(json::object(), "stop"));
    return event(id, model, std::move(choices), nullptr);
}

std::string usageChunk(const std::string &id, const std::string &model,
                       const CompletionUsage &usage)
{
    return event(id, model, json::array(), usageObject(usage));
}

} // namespace standin
