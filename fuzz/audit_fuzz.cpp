#include "basilhall/audit/bucket.h"
#include "basilhall/store/envelope.h"

#include <cstdint>
#include <cstdlib>

// A bucket of the audit trail as it comes from the object API: a Result, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace basilhall;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const store::ObjectKey key = audit::bucketKey(0);
    [[maybe_unused]] const auto raw = audit::decodeBucket(key, text);
    const auto records = audit::decodeBucket(key, store::sealEnvelope(text));
    if (records && !audit::decodeBucket(key, audit::encodeBucket(records.value()))) {
        std::abort();
    }
    return 0;
}
