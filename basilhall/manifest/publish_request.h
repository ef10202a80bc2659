// A request of an operator or a pipeline to publish a manifest.
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/manifest/content.h"

#include <cstdint>
#include <optional>
#include <string>

namespace basilhall::manifest
{

struct PublishRequest {
    Content content;
    // Who publishes, for the audit trail.
    std::string publisher;
    // Random ID, unique to this run.
    std::string publicationId;
    WallMillis wallMillis = 0;
    // Generation on which the content is based. If not set, the published one.
    std::optional<std::uint64_t> fromGeneration;
    // Replaces a damaged root or chunk; needs fromGeneration, the last one known to be in force.
    bool replaceDamaged = false;
    // Timeout of the publication, measured from the first call of Publisher::advance().
    Duration patience = std::chrono::seconds(30);
};

} // namespace basilhall::manifest
