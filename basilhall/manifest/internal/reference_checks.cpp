#include "basilhall/manifest/internal/reference_checks.h"

#include "basilhall/manifest/name.h"

#include <set>

namespace basilhall::manifest::internal
{

namespace
{

// Number of leading digits of a digest shown in messages; enough to identify it.
constexpr std::size_t kShownDigits = 12;

std::string doesNotExist(std::string_view what, const std::string &name)
{
    return std::string(what) + " \"" + name + "\" does not exist";
}

} // namespace

ReferenceChecks::ReferenceChecks(const Content &content)
    : m_content(content)
{
}

void ReferenceChecks::checkRoute(const Route &route, config::Table &table) const
{
    if (m_content.models.contains(ModelName(route.name))) {
        table.addFault("", "has the name of a model");
    }
}

void ReferenceChecks::checkTeam(const Team &team, config::Table &table)
{
    checkKeyDigests(team, table);
    for (std::size_t i = 0; i < team.routes.size(); ++i) {
        if (!m_content.routes.contains(team.routes[i])) {
            table.addFaultAt("routes", i, doesNotExist("route", team.routes[i]));
        }
    }
    for (std::size_t i = 0; i < team.models.size(); ++i) {
        if (!m_content.models.contains(team.models[i])) {
            table.addFaultAt("models", i, doesNotExist("model", team.models[i].value()));
        }
    }
}

void ReferenceChecks::checkKeyDigests(const Team &team, config::Table &table)
{
    for (std::size_t i = 0; i < team.keyDigests.size(); ++i) {
        const std::string &digest = team.keyDigests[i];
        if (!isKeyDigest(digest)) {
            continue;
        }
        const auto [owner, isNew] = m_teamOfDigest.emplace(digest, team.name);
        if (!isNew) {
            table.addFaultAt("key_digests", i,
                             "digest " + digest.substr(0, kShownDigits) + "... belongs to team \""
                                 + owner->second.value() + "\" already");
        }
    }
}

void ReferenceChecks::checkEndpoint(const Endpoint &endpoint, config::Table &table)
{
    checkServes(endpoint, table);
    checkAddress(endpoint, endpoint.agent, "agent", table);
    checkAddress(endpoint, endpoint.address, "address", table);
}

void ReferenceChecks::checkServes(const Endpoint &endpoint, config::Table &table) const
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < endpoint.serves.size(); ++i) {
        const std::string &name = endpoint.serves[i];
        if (!seen.insert(name).second) {
            table.addFaultAt("serves", i, "names \"" + name + "\" twice");
        }
        if (endpoint.kind == EndpointKind::Engine && !m_content.models.contains(ModelName(name))) {
            table.addFaultAt("serves", i, doesNotExist("model", name));
        }
        if (endpoint.kind == EndpointKind::Service && !m_content.routes.contains(name)) {
            table.addFaultAt("serves", i, doesNotExist("route", name));
        }
    }
}

void ReferenceChecks::checkAddress(const Endpoint &endpoint, const Address &address,
                                   std::string_view key, config::Table &table)
{
    if (address.ip.empty()) {
        return;
    }
    const auto [owner, isNew] = m_endpointOfAddress.emplace(address, endpoint.name);
    if (!isNew) {
        table.addFault(key,
                       toString(address) + " is used by endpoint \"" + owner->second.value()
                           + "\" already");
    }
}

} // namespace basilhall::manifest::internal
