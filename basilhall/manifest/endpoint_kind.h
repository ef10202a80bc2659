// The kind of server behind an endpoint.
#pragma once

#include <optional>
#include <string_view>

namespace basilhall::manifest
{

enum class EndpointKind {
    // A model engine; serves models.
    Engine,
    // A plain service or a tool service; serves routes.
    Service,
};

// Returns the name used in manifests and settings: "engine" or "service".
std::string_view toString(EndpointKind kind);

// Returns the kind named `name`, or nothing if there is none.
std::optional<EndpointKind> endpointKindFromName(std::string_view name);

} // namespace basilhall::manifest
