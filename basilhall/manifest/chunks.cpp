#include "basilhall/manifest/chunks.h"

#include "basilhall/base/sha256.h"
#include "basilhall/manifest/line_codec.h"

#include <cstdint>

namespace basilhall::manifest
{

namespace
{

// FNV-1a with a final mix. Unlike std::hash, it is stable across versions and hosts. Without the
// mix, names that differ only in their last digits map to few distinct remainders.
std::uint64_t stableHash(std::string_view text)
{
    constexpr std::uint64_t kOffset = 14695981039346656037U;
    constexpr std::uint64_t kPrime = 1099511628211U;
    std::uint64_t hash = kOffset;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= kPrime;
    }
    constexpr std::uint64_t kMix = 0xff51afd7ed558ccdU;
    hash ^= hash >> 33;
    hash *= kMix;
    return hash ^ (hash >> 33);
}

bool endsChunk(std::string_view key)
{
    return stableHash(key) % kMeanLinesPerChunk == 0;
}

Chunk makeChunk(std::string payload)
{
    std::string digest = sha256Hex(payload);
    return {std::move(digest), std::move(payload)};
}

Error badLine(const Chunk &chunk, std::size_t number, const Error &cause)
{
    return Error(ErrorKind::Corrupt,
                 "manifest chunk " + chunk.digest + ", line " + std::to_string(number) + ": "
                     + cause.message());
}

} // namespace

std::vector<Chunk> splitIntoChunks(const Content &content)
{
    std::vector<Chunk> chunks;
    std::string payload;
    const auto endChunk = [&chunks, &payload] {
        if (!payload.empty()) {
            payload.shrink_to_fit();
            chunks.push_back(makeChunk(std::move(payload)));
            payload.clear();
        }
    };
    forEachLine(content, [&](const Line &line) {
        if (payload.size() + line.text.size() >= kMaxChunkBytes) {
            endChunk();
        }
        payload += line.text;
        payload += '\n';
        if (endsChunk(line.key)) {
            endChunk();
        }
    });
    endChunk();
    return chunks;
}

Result<void> addChunk(const Chunk &chunk, Content &content)
{
    std::string_view rest = chunk.payload;
    for (std::size_t number = 1; !rest.empty(); ++number) {
        const std::size_t end = rest.find('\n');
        if (end == std::string_view::npos) {
            return badLine(chunk, number, Error(ErrorKind::Corrupt, "has no end"));
        }
        const Result<void> decoded = decodeLine(rest.substr(0, end), content);
        if (!decoded) {
            return badLine(chunk, number, decoded.error());
        }
        rest.remove_prefix(end + 1);
    }
    return success();
}

Result<Content> joinChunks(std::span<const Chunk> chunks)
{
    Content content;
    for (const Chunk &chunk : chunks) {
        BOOST_OUTCOME_TRY(addChunk(chunk, content));
    }
    if (content.shardCount == 0) {
        return Error(ErrorKind::Corrupt, "manifest declares no shards");
    }
    return content;
}

} // namespace basilhall::manifest
