#include "basilhall/manifest/chunks.h"
#include "basilhall/manifest/parser.h"

#include <cstdint>
#include <cstdlib>

// The parser never crashes, and what it accepts comes back from its published form.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace basilhall::manifest;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const ParsedContent parsed = parse("fuzz", text);
    if (parsed.content.has_value() != parsed.faults.empty()) {
        std::abort();
    }
    if (parsed.content) {
        const basilhall::Result<Content> back = joinChunks(splitIntoChunks(*parsed.content));
        if (!back || back.value() != *parsed.content) {
            std::abort();
        }
    }
    return 0;
}
