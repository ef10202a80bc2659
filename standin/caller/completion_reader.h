// Reads the text out of a chat completion, streamed or not.
#pragma once

#include "standin/caller/reply.h"

#include <optional>
#include <string>

namespace standin
{

// Returns the assistant's text, or nothing if the answer is not whole: a stream must end with a
// finish reason and `[DONE]`.
std::optional<std::string> completionText(const Reply &reply);

} // namespace standin
