// The JSON documents that a chat completion is answered with.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standin
{

struct CompletionUsage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
};

// The whole answer of a call that is not streamed.
std::string completionDocument(const std::string &id, const std::string &model,
                               const std::string &text, const CompletionUsage &usage);

// One server-sent event with a part of the answer's text.
std::string completionChunk(const std::string &id, const std::string &model, std::string_view text);

// The event that ends the text.
std::string finishChunk(const std::string &id, const std::string &model);

// The event with the usage and no text.
std::string usageChunk(const std::string &id, const std::string &model,
                       const CompletionUsage &usage);

} // namespace standin
