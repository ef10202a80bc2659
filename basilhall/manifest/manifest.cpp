#include "basilhall/manifest/manifest.h"

#include <utility>

namespace basilhall::manifest
{

namespace
{

template<typename Map, typename Key>
const typename Map::mapped_type *find(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

ManifestPtr Manifest::make(std::uint64_t generation, Content content)
{
    return ManifestPtr(new Manifest(generation, std::move(content)));
}

Manifest::Manifest(std::uint64_t generation, Content content)
    : m_generation(generation)
    , m_content(std::move(content))
{
    for (const auto &[name, team] : m_content.teams) {
        for (const std::string &digest : team.keyDigests) {
            m_teamsByKeyDigest.emplace(digest, &team);
        }
    }
    for (const auto &[name, endpoint] : m_content.endpoints) {
        for (const std::string &served : endpoint.serves) {
            m_endpointsByName[served].push_back(&endpoint);
        }
    }
}

const Team *Manifest::team(const TeamName &name) const
{
    return find(m_content.teams, name);
}

const Team *Manifest::teamByKeyDigest(std::string_view digest) const
{
    const auto found = m_teamsByKeyDigest.find(digest);
    return found == m_teamsByKeyDigest.end() ? nullptr : found->second;
}

const Route *Manifest::route(const std::string &name) const
{
    return find(m_content.routes, name);
}

const Model *Manifest::model(const ModelName &name) const
{
    return find(m_content.models, name);
}

const Endpoint *Manifest::endpoint(const EndpointName &name) const
{
    return find(m_content.endpoints, name);
}

std::span<const Endpoint *const> Manifest::endpointsServing(std::string_view name) const
{
    const auto found = m_endpointsByName.find(name);
    if (found == m_endpointsByName.end()) {
        return {};
    }
    return found->second;
}

} // namespace basilhall::manifest
