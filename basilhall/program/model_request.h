// Parses the JSON body of a model call, and composes the document for the engine from the request
// and the stored history.
//
//     BOOST_OUTCOME_TRY(const ModelRequest request, parseModelRequest(body));
//     const std::string history = program.messages();
//     const std::string added = newMessages(request, history);
//     const std::string prompt = composePrompt(request, history, added, 256);
#pragma once

#include "basilhall/base/result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilhall::program
{

// Immutable value.
struct ModelRequest {
    std::string model;
    // The elements of `messages`, serialised without the brackets.
    std::string messages;
    // All members that have no field here, serialised without the braces.
    std::string otherMembers;
    bool stream = false;
    std::optional<std::uint64_t> maxTokens;

    auto operator<=>(const ModelRequest &) const = default;
};

// Fails with InvalidRequest if a member is missing or invalid; the message names the member.
Result<ModelRequest> parseModelRequest(std::string_view body);

// Returns the messages that `request` adds to `history`. A caller may send only the new messages or
// the whole conversation. If the messages start with the history, that prefix is removed.
std::string newMessages(const ModelRequest &request, std::string_view history);

// Returns the JSON document for the engine. It contains the members of `request`, with the token
// limit `maxTokens` and the messages of `history` followed by `added`.
std::string composePrompt(const ModelRequest &request, std::string_view history,
                          std::string_view added, std::uint64_t maxTokens);

} // namespace basilhall::program
