#include "basilhall/agent/completion_builder.h"

#include <boost/json.hpp>
#include <map>

namespace basilhall::agent
{

namespace json = boost::json;

namespace
{

constexpr std::size_t kMaxDepth = 32;
constexpr std::size_t kMaxToolCalls = 256;

Error malformed(std::string_view reason)
{
    return {ErrorKind::EndpointFailed, "completion chunk is malformed: " + std::string(reason)};
}

std::uint64_t numberIn(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains({name.data(), name.size()});
    boost::system::error_code error;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

} // namespace

class CompletionBuilder::Private
{
public:
    Result<void> addChoice(const json::object &choice)
    {
        if (numberIn(choice, "index") != 0) {
            return success();
        }
        if (const json::value *reason = choice.if_contains("finish_reason")) {
            if (reason->is_string()) {
                m_finishReason = json::value_to<std::string>(*reason);
            }
        }
        const json::value *delta = choice.if_contains("delta");
        if (delta == nullptr) {
            return success();
        }
        if (!delta->is_object()) {
            return malformed("\"delta\" is not an object");
        }
        ++m_chunks;
        return addDelta(delta->as_object());
    }

    Result<void> addDelta(const json::object &delta)
    {
        for (const auto &[name, value] : delta) {
            if (name == "role" || value.is_null()) {
                continue;
            }
            if (name == "tool_calls") {
                BOOST_OUTCOME_TRY(addToolCalls(value));
            } else if (value.is_string()) {
                BOOST_OUTCOME_TRY(append(m_texts[std::string(name)], value.as_string()));
            }
        }
        return success();
    }

    Result<void> addToolCalls(const json::value &calls)
    {
        if (!calls.is_array()) {
            return malformed("\"tool_calls\" is not an array");
        }
        for (const json::value &call : calls.as_array()) {
            if (!call.is_object()) {
                return malformed("a tool call is not an object");
            }
            const std::uint64_t index = numberIn(call.as_object(), "index");
            if (index >= kMaxToolCalls) {
                return malformed("the index of a tool call is too large");
            }
            BOOST_OUTCOME_TRY(mergeToolCall(m_toolCalls[index], call.as_object()));
        }
        return success();
    }

    struct ToolCall {
        std::string id;
        std::string type = "function";
        std::string name;
        std::string arguments;
    };

    Result<void> mergeToolCall(ToolCall &call, const json::object &delta)
    {
        if (const json::value *id = delta.if_contains("id")) {
            BOOST_OUTCOME_TRY(appendIfText(call.id, *id));
        }
        const json::value *function = delta.if_contains("function");
        if (function == nullptr || !function->is_object()) {
            return success();
        }
        if (const json::value *name = function->as_object().if_contains("name")) {
            BOOST_OUTCOME_TRY(appendIfText(call.name, *name));
        }
        if (const json::value *arguments = function->as_object().if_contains("arguments")) {
            BOOST_OUTCOME_TRY(appendIfText(call.arguments, *arguments));
        }
        return success();
    }

    Result<void> appendIfText(std::string &text, const json::value &value)
    {
        return value.is_string() ? append(text, value.as_string()) : Result<void>(success());
    }

    Result<void> append(std::string &text, const json::string &addition)
    {
        m_bytes += addition.size();
        if (m_bytes > kMaxMessageBytes) {
            return Error(ErrorKind::EndpointFailed, "completion message is too large");
        }
        text.append(addition.data(), addition.size());
        return success();
    }

    json::array toolCalls() const
    {
        json::array calls;
        for (const auto &[index, call] : m_toolCalls) {
            json::object function{{"name", call.name}, {"arguments", call.arguments}};
            calls.push_back(json::object{
                {"id", call.id}, {"type", call.type}, {"function", std::move(function)}});
        }
        return calls;
    }

    void readUsage(const json::object &usage)
    {
        m_hasUsage = true;
        m_usage.set_prompt_tokens(numberIn(usage, "prompt_tokens"));
        m_usage.set_completion_tokens(numberIn(usage, "completion_tokens"));
        const json::value *details = usage.if_contains("prompt_tokens_details");
        if (details != nullptr && details->is_object()) {
            m_usage.set_cached_tokens(numberIn(details->as_object(), "cached_tokens"));
        }
    }

    std::map<std::string, std::string> m_texts;
    std::map<std::uint64_t, ToolCall> m_toolCalls;
    std::string m_finishReason;
    wire::Usage m_usage;
    std::uint64_t m_chunks = 0;
    std::size_t m_bytes = 0;
    bool m_hasUsage = false;
};

CompletionBuilder::CompletionBuilder()
    : d(std::make_unique<Private>())
{
}

CompletionBuilder::~CompletionBuilder() = default;

Result<void> CompletionBuilder::add(std::string_view payload)
{
    json::parse_options options;
    options.max_depth = kMaxDepth;
    boost::system::error_code error;
    const json::value chunk = json::parse({payload.data(), payload.size()}, error, {}, options);
    if (error || !chunk.is_object()) {
        return malformed("it is not a JSON object");
    }
    const json::object &object = chunk.as_object();
    if (object.contains("error")) {
        return Error(ErrorKind::EndpointFailed, "endpoint reported an error in its event stream");
    }
    const json::value *choices = object.if_contains("choices");
    if (choices == nullptr || !choices->is_array()) {
        return malformed("\"choices\" is missing or not an array");
    }
    for (const json::value &choice : choices->as_array()) {
        if (!choice.is_object()) {
            return malformed("a choice is not an object");
        }
        BOOST_OUTCOME_TRY(d->addChoice(choice.as_object()));
    }
    const json::value *usage = object.if_contains("usage");
    if (usage != nullptr && usage->is_object()) {
        d->readUsage(usage->as_object());
    }
    return success();
}

std::string CompletionBuilder::message() const
{
    json::object message{{"role", "assistant"}};
    const bool hasContent = d->m_texts.contains("content");
    message["content"] = hasContent || d->m_toolCalls.empty() ? json::value("") : json::value();
    for (const auto &[name, text] : d->m_texts) {
        message[name] = text;
    }
    if (!d->m_toolCalls.empty()) {
        message["tool_calls"] = d->toolCalls();
    }
    return json::serialize(message);
}

const std::string &CompletionBuilder::finishReason() const
{
    return d->m_finishReason;
}

wire::Usage CompletionBuilder::usage() const
{
    wire::Usage usage = d->m_usage;
    if (!d->m_hasUsage) {
        usage.set_completion_tokens(d->m_chunks);
    }
    return usage;
}

} // namespace basilhall::agent
