#include "basilhall/manifest/chunks.h"
#include "basilhall/manifest/root.h"

#include <cstdint>
#include <cstdlib>

// Root and chunks as they come from the object API or from a peer: a Result, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace basilhall::manifest;
    const std::string text(reinterpret_cast<const char *>(data), size);
    const basilhall::Result<Root> root = decodeRoot(text);
    if (root) {
        const basilhall::Result<Root> again = decodeRoot(encodeRoot(root.value()));
        if (!again || again.value() != root.value()) {
            std::abort();
        }
    }
    Content content;
    [[maybe_unused]] const auto added = addChunk({"fuzz", text}, content);
    return 0;
}
