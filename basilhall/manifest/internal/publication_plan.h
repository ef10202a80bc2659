// Plans the objects that a publication writes and removes. Internal to this directory.
#pragma once

#include "basilhall/manifest/candidate.h"
#include "basilhall/manifest/publish_request.h"
#include "basilhall/manifest/published.h"

#include <optional>
#include <vector>

namespace basilhall::manifest::internal
{

// A chunk that has to be written.
struct NewChunk {
    ChunkName name;
    std::string payload;
};

struct PublicationPlan {
    Root root;
    Published published;
    std::vector<NewChunk> newChunks;
    // Chunks of earlier generations that are no longer referenced.
    std::vector<ChunkName> removals;
};

// Returns the plan for publishing `request` on top of `base`, whose generation is `baseGeneration`.
// `base` is empty if the published manifest is absent or damaged. Unchanged chunks are reused.
PublicationPlan planPublication(const PublishRequest &request, const std::optional<Candidate> &base,
                                std::uint64_t baseGeneration);

} // namespace basilhall::manifest::internal
