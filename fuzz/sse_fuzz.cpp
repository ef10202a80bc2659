#include "basilhall/agent/completion_builder.h"
#include "basilhall/agent/sse_parser.h"

#include <cstdint>
#include <cstdlib>

// The answer of an engine, cut in two at a place that its first byte chooses: the events are the
// same as without the cut, and each is taken or refused, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace basilhall;
    if (size == 0) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    const std::size_t cut = data[0] % (text.size() + 1);
    agent::SseParser whole;
    agent::SseParser parts;
    const auto expected = whole.feed(text);
    auto events = parts.feed(text.substr(0, cut));
    const auto rest = parts.feed(text.substr(cut));
    if (expected.has_value() != (events.has_value() && rest.has_value())) {
        std::abort();
    }
    if (!expected) {
        return 0;
    }
    events.value().insert(events.value().end(), rest.value().begin(), rest.value().end());
    if (events.value() != expected.value()) {
        std::abort();
    }
    agent::CompletionBuilder builder;
    for (const std::string &event : events.value()) {
        (void)builder.add(event);
    }
    (void)builder.message();
    return 0;
}
