#include "basilhall/manifest/candidate.h"

#include "basilhall/base/sha256.h"

#include <utility>

namespace basilhall::manifest
{

namespace
{

Error damagedChunk(const ChunkName &name, std::string_view reason)
{
    const store::ObjectKey key = chunkKey(name);
    return Error(ErrorKind::Corrupt,
                 "manifest chunk \"" + key.kind + "/" + key.name + "\" " + std::string(reason));
}

Result<void> checkChunk(const ChunkName &name, const Chunk &chunk)
{
    if (chunk.digest != name.digest || sha256Hex(chunk.payload) != name.digest) {
        return damagedChunk(name, "does not have the digest of its name");
    }
    return success();
}

} // namespace

Candidate::Candidate(Root root, ManifestPtr manifest)
    : m_root(std::move(root))
    , m_manifest(std::move(manifest))
{
}

Result<Candidate> Candidate::make(Root root, std::span<const Chunk> chunks)
{
    for (std::size_t i = 0; i < root.chunks.size(); ++i) {
        if (i >= chunks.size()) {
            return damagedChunk(root.chunks[i], "is missing");
        }
        BOOST_OUTCOME_TRY(checkChunk(root.chunks[i], chunks[i]));
    }
    if (chunks.size() != root.chunks.size()) {
        return Error(ErrorKind::Corrupt, "manifest has chunks that its root does not name");
    }
    BOOST_OUTCOME_TRY(Content content, joinChunks(chunks));
    ManifestPtr manifest = Manifest::make(root.generation, std::move(content));
    return Candidate(std::move(root), std::move(manifest));
}

Result<Candidate> Candidate::fromParts(std::span<const Part> parts)
{
    if (parts.empty() || !parts.front().digest.empty()) {
        return Error(ErrorKind::Corrupt, "manifest from a peer does not begin with its root");
    }
    BOOST_OUTCOME_TRY(Root root, decodeRoot(parts.front().content));
    std::vector<Chunk> chunks;
    for (const Part &part : parts.subspan(1)) {
        chunks.push_back({part.digest, part.content});
    }
    return make(std::move(root), chunks);
}

std::vector<Part> Candidate::toParts() const
{
    std::vector<Part> parts{{"", encodeRoot(m_root)}};
    for (Chunk &chunk : splitIntoChunks(m_manifest->content())) {
        parts.push_back({std::move(chunk.digest), std::move(chunk.payload)});
    }
    return parts;
}

} // namespace basilhall::manifest
