#include "basilhall/settings/parser.h"

#include <cstdint>
#include <cstdlib>

// The parser never crashes, and gives settings exactly if it found no fault.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace basilhall::settings;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const ParsedSettings parsed = parse("fuzz", text);
    const bool hasSettings = !std::holds_alternative<std::monostate>(parsed.settings);
    if (hasSettings != parsed.faults.empty()) {
        std::abort();
    }
    return 0;
}
