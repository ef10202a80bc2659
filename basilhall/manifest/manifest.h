// A published manifest: content, generation and the lookups used when serving requests.
//
//     const ManifestPtr manifest = Manifest::make(7, std::move(content));
//     const Team *team = manifest->teamByKeyDigest(sha256Hex(key));
#pragma once

#include "basilhall/manifest/content.h"

#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace basilhall::manifest
{

class Manifest;

using ManifestPtr = std::shared_ptr<const Manifest>;

// Immutable and therefore safe to share between threads without a lock. Returned pointers and
// spans are valid for the lifetime of the manifest.
class Manifest
{
public:
    static ManifestPtr make(std::uint64_t generation, Content content);

    Manifest(const Manifest &) = delete;
    Manifest &operator=(const Manifest &) = delete;

    // Starts at 1 and is incremented by each publication.
    std::uint64_t generation() const { return m_generation; }
    std::uint32_t shardCount() const { return m_content.shardCount; }
    const Content &content() const { return m_content; }

    // Each lookup returns nullptr if the name does not exist.
    const Team *team(const TeamName &name) const;
    // `digest` is 64 lower-case hexadecimal digits. Takes one hash lookup, independent of the
    // number of keys.
    const Team *teamByKeyDigest(std::string_view digest) const;
    const Route *route(const std::string &name) const;
    const Model *model(const ModelName &name) const;
    const Endpoint *endpoint(const EndpointName &name) const;

    // Returns the endpoints that serve the model or route `name`, including those that are leaving,
    // sorted by name. Models and routes share one namespace.
    std::span<const Endpoint *const> endpointsServing(std::string_view name) const;

    friend bool operator==(const Manifest &a, const Manifest &b)
    {
        return a.m_generation == b.m_generation && a.m_content == b.m_content;
    }

private:
    Manifest(std::uint64_t generation, Content content);

    const std::uint64_t m_generation;
    const Content m_content;
    // The views and pointers point into m_content.
    std::unordered_map<std::string_view, const Team *> m_teamsByKeyDigest;
    std::unordered_map<std::string_view, std::vector<const Endpoint *>> m_endpointsByName;
};

} // namespace basilhall::manifest
