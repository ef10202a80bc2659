// The parts of a chat completion that the engine stand-in understands.
#pragma once

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace standin
{

struct ChatMessage {
    std::string role;
    std::string content;
};

struct ChatRequest {
    std::string model;
    std::vector<ChatMessage> messages;
    std::uint64_t maxTokens = 0;
    bool stream = false;
    bool includeUsage = false;
};

// Throws std::invalid_argument, std::out_of_range or boost::system::system_error if `body` is not
// a chat completion request.
ChatRequest parseChat(const std::string &body);

// One token for each four bytes begun, and four more for each message.
std::uint64_t tokensOf(const ChatMessage &message);
std::uint64_t tokensOf(const std::vector<ChatMessage> &messages);

// Digest of roles and contents in their order, 16 hexadecimal digits.
std::string digestOf(const std::vector<ChatMessage> &messages);

// Number of words that the engine answers with: `tokens=N` in the last message, or
// `defaultTokens`, but not more than `maxTokens`.
std::uint64_t answerTokens(const ChatRequest &request, std::uint64_t defaultTokens);

// The answer's words. They join to `digest=<digest> w1 w2 ... end=<count>`; a test that knows the
// messages can tell whether the engine saw all of them and whether the answer is whole.
std::vector<std::string> answerWords(const std::vector<ChatMessage> &messages, std::uint64_t count);

// Joins the words of answerWords().
std::string answerText(const std::vector<ChatMessage> &messages, std::uint64_t count);

} // namespace standin
