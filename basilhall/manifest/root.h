// The root object of the published manifest: generation, chunk names, recent publications.
//
// Objects: `manifests/root`, and each chunk under `manifests/<digest>.<generation>`, where the
// generation is the one that added the chunk. Since it is part of the name, an unreferenced chunk
// can be removed without a race: a later publication of the same bytes creates a new object.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/manifest/publication.h"
#include "basilhall/store/object_key.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::manifest
{

inline constexpr std::string_view kObjectKind = "manifests";

// Maximum number of publications recorded in the root, including the current one.
inline constexpr std::size_t kMaxHistory = 16;

// The name of a chunk. Immutable value.
struct ChunkName {
    std::string digest;
    // Generation that added the chunk.
    std::uint64_t generation = 0;

    auto operator<=>(const ChunkName &) const = default;
};

// Immutable value.
struct Root {
    std::uint64_t generation = 0;
    // In canonical order.
    std::vector<ChunkName> chunks;
    // Chunks of earlier generations that the next publisher removes.
    std::vector<ChunkName> retired;
    // Newest first; the first is that of `generation`.
    std::vector<Publication> history;

    auto operator<=>(const Root &) const = default;
};

store::ObjectKey rootKey();
store::ObjectKey chunkKey(const ChunkName &name);

// Returns `<digest>.<generation>`.
std::string toString(const ChunkName &name);
Result<ChunkName> parseChunkName(std::string_view text);

// Returns JSON without the envelope of stored objects.
std::string encodeRoot(const Root &root);
// Corrupt names the fault.
Result<Root> decodeRoot(std::string_view text);

} // namespace basilhall::manifest
