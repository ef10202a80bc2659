// Splits a manifest into chunks that fit into objects of the object API.
//
//     const std::vector<Chunk> chunks = splitIntoChunks(content);
//     Result<Content> back = joinChunks(chunks);
//
// Chunk boundaries depend only on the declared names, so a change to one team changes one chunk,
// and only that chunk is written and read.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/manifest/content.h"
#include "basilhall/store/object.h"

#include <compare>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace basilhall::manifest
{

// Average number of lines per chunk. At about 340 bytes per line it balances the sizes of the root
// with its digests and of one chunk, which a process reads after a change to one team in 30,000.
inline constexpr std::size_t kMeanLinesPerChunk = 96;

// Maximum size of one chunk, well below store::kMaxObjectBytes.
inline constexpr std::size_t kMaxChunkBytes = 512 * 1024;

// Immutable value.
struct Chunk {
    // SHA-256 of `payload`.
    std::string digest;
    // Lines in canonical form, each terminated by a newline.
    std::string payload;

    auto operator<=>(const Chunk &) const = default;
};

// Returns the chunks of `content` in canonical order. The same content gives the same chunks.
std::vector<Chunk> splitIntoChunks(const Content &content);

// Adds the declarations in `chunk` to `content`. Corrupt names the digest and the line.
Result<void> addChunk(const Chunk &chunk, Content &content);

// Returns the content of all chunks. Corrupt names the digest and line of the first fault.
Result<Content> joinChunks(std::span<const Chunk> chunks);

} // namespace basilhall::manifest
