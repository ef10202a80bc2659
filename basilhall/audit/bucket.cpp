#include "basilhall/audit/bucket.h"

#include "basilhall/base/sha256.h"
#include "basilhall/store/envelope.h"

#include <algorithm>
#include <charconv>

namespace basilhall::audit
{

namespace
{

constexpr std::size_t kHashDigits = 8;

// A record as a line, with what decides whether it is dropped.
struct Line {
    std::string text;
    bool isInForce = false;
    bool isKept = true;
};

// Drops lines from the first on, those in force alone or any, until `size` is within the bound.
void drop(std::vector<Line> &lines, bool inForceOnly, std::size_t &size)
{
    for (Line &line : lines) {
        if (size <= kMaxBucketBytes) {
            return;
        }
        if (line.isKept && (line.isInForce || !inForceOnly)) {
            line.isKept = false;
            size -= line.text.size();
        }
    }
}

} // namespace

std::size_t bucketOf(const HostName &host)
{
    const std::string digits = sha256Hex(host.value()).substr(0, kHashDigits);
    std::uint32_t hash = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), hash, 16);
    return hash % kBuckets;
}

store::ObjectKey bucketKey(std::size_t number)
{
    return {"audits", std::to_string(number)};
}

std::string encodeBucket(std::vector<Record> records)
{
    std::sort(records.begin(), records.end());
    std::vector<Line> lines;
    std::size_t size = store::kEnvelopeBytes;
    for (const Record &record : records) {
        lines.push_back({encodeRecord(record) + "\n", record.kind == EventKind::ManifestInForce});
        size += lines.back().text.size();
    }
    drop(lines, true, size);
    drop(lines, false, size);
    std::string payload;
    for (const Line &line : lines) {
        payload += line.isKept ? line.text : "";
    }
    return store::sealEnvelope(payload);
}

Result<std::vector<Record>> decodeBucket(const store::ObjectKey &key, std::string_view data)
{
    BOOST_OUTCOME_TRY(std::string_view rest, store::openEnvelope(key, data));
    std::vector<Record> records;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        Result<Record> record = decodeRecord(rest.substr(0, end));
        if (!record) {
            return store::corruptObject(key, record.error().message());
        }
        records.push_back(std::move(record).value());
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return records;
}

} // namespace basilhall::audit
