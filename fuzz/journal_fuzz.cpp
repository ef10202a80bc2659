#include "basilhall/journal/batch_codec.h"
#include "basilhall/store/envelope.h"

#include <cstdint>
#include <cstdlib>

// A batch of a journal as it comes from the object API: a Result, never a crash, and what is taken
// survives being written again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace basilhall;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const store::ObjectKey key = journal::batchKey(Incarnation("a"), 1);
    (void)journal::decodeBatch(key, text);
    journal::Batch batch = journal::makeBatch(Incarnation("a"), 1);
    if (!batch.MergeFromString(std::string(text))) {
        return 0;
    }
    const auto decoded = journal::decodeBatch(key, journal::encodeBatch(batch));
    if (decoded && journal::encodeBatch(decoded.value()) != journal::encodeBatch(batch)) {
        std::abort();
    }
    return 0;
}
