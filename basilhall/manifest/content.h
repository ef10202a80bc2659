// What a manifest declares, without the generation under which it was published.
#pragma once

#include "basilhall/manifest/endpoint.h"
#include "basilhall/manifest/model.h"
#include "basilhall/manifest/route.h"
#include "basilhall/manifest/team.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace basilhall::manifest
{

// Immutable value. Each map is keyed by the name of its values.
struct Content {
    // Number of shards to which programs and teams hash; fixed for the life of a deployment.
    std::uint32_t shardCount = 0;
    std::map<TeamName, Team> teams;
    std::map<std::string, Route> routes;
    std::map<ModelName, Model> models;
    std::map<EndpointName, Endpoint> endpoints;

    auto operator<=>(const Content &) const = default;
};

} // namespace basilhall::manifest
