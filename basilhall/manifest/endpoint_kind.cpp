#include "basilhall/manifest/endpoint_kind.h"

namespace basilhall::manifest
{

std::string_view toString(EndpointKind kind)
{
    return kind == EndpointKind::Engine ? "engine" : "service";
}

std::optional<EndpointKind> endpointKindFromName(std::string_view name)
{
    for (const EndpointKind kind : {EndpointKind::Engine, EndpointKind::Service}) {
        if (toString(kind) == name) {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace basilhall::manifest
