// Sample manifests for the tests in this directory.
#pragma once

#include "basilhall/base/sha256.h"
#include "basilhall/manifest/content.h"

#include <string>

namespace basilhall::manifest
{

inline Team sampleTeam(std::size_t number)
{
    Team team;
    team.name = TeamName("team-" + std::to_string(number));
    team.requestsPerSecond = 12.5;
    team.burst = 25;
    team.programBudgetTokens = 200'000;
    team.keyDigests = {sha256Hex(team.name.value() + "-1"), sha256Hex(team.name.value() + "-2")};
    team.models = {ModelName("mati/starter:7b")};
    return team;
}

inline Content sampleContent(std::size_t teams)
{
    Content content;
    content.shardCount = 24;
    const Model model{ModelName("mati/starter:7b"), 32'000, 2'000};
    content.models.emplace(model.name, model);
    Route route;
    route.name = "orders";
    route.timeout = std::chrono::milliseconds(1500);
    content.routes.emplace(route.name, route);
    Endpoint endpoint;
    endpoint.name = EndpointName("mati-1");
    endpoint.host = HostName("h1");
    endpoint.domain = FailureDomain("kolkata-a");
    endpoint.agent = {"127.0.0.1", 7001};
    endpoint.address = {"::1", 8001};
    endpoint.serves = {model.name.value()};
    endpoint.capacity = 16;
    content.endpoints.emplace(endpoint.name, endpoint);
    for (std::size_t i = 0; i < teams; ++i) {
        const Team team = sampleTeam(i);
        content.teams.emplace(team.name, team);
    }
    return content;
}

} // namespace basilhall::manifest
