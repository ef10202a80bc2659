// Assembles the chunks of a streamed chat completion into the complete assistant message.
//
//     BOOST_OUTCOME_TRY(builder.add(payload));
//     answer.set_body(builder.message());
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/wire/wire.pb.h"

#include <memory>
#include <string>
#include <string_view>

namespace basilhall::agent
{

// Maximum size of an assistant message, in bytes.
inline constexpr std::size_t kMaxMessageBytes = 4 * 1024 * 1024;

// Not thread-safe. Ignores all choices except the first.
class CompletionBuilder
{
public:
    CompletionBuilder();
    ~CompletionBuilder();

    // Adds the data of one event. Returns EndpointFailed if it is not a valid chunk, reports an
    // error or makes the message larger than kMaxMessageBytes.
    Result<void> add(std::string_view payload);

    // Returns the assistant message as JSON.
    std::string message() const;
    // Returns why the model stopped, or an empty string until it has stopped.
    const std::string &finishReason() const;
    // Returns the token counts that the engine reported. Without them, counts each chunk as one
    // completion token.
    wire::Usage usage() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::agent
