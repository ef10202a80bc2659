// A complete manifest received from a source, with its content verified against its root.
//
//     Result<Candidate> candidate = Candidate::make(root, chunks); // Corrupt names the chunk
//     acceptor.offer("peer h2", candidate.value());
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/manifest/chunks.h"
#include "basilhall/manifest/manifest.h"
#include "basilhall/manifest/root.h"

#include <span>
#include <string>
#include <vector>

namespace basilhall::manifest
{

// One part of a manifest sent between peers. The root comes first and has an empty digest; the
// chunks follow in the order in which the root lists them.
struct Part {
    std::string digest;
    std::string content;

    auto operator<=>(const Part &) const = default;
};

// Immutable. Exists only if every chunk has the digest that the root names.
class Candidate
{
public:
    // `chunks` must be in the order of the root. Corrupt names the chunk that is missing or
    // damaged.
    static Result<Candidate> make(Root root, std::span<const Chunk> chunks);
    // Builds a candidate from the parts that toParts() returned on a peer.
    static Result<Candidate> fromParts(std::span<const Part> parts);

    std::uint64_t generation() const { return m_root.generation; }
    const Root &root() const { return m_root; }
    const ManifestPtr &manifest() const { return m_manifest; }
    std::vector<Part> toParts() const;

private:
    Candidate(Root root, ManifestPtr manifest);

    Root m_root;
    ManifestPtr m_manifest;
};

} // namespace basilhall::manifest
