// A versioned document that gateways fetch from each other: the configuration, or a list of the
// registrations in the object API.
//
//     const Document document{DocumentKind::Endpoints, storeRevision, encodeEndpoints(endpoints)};
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace basilhall::gateway
{

// The values are part of the protocol between gateways.
enum class DocumentKind : std::uint32_t {
    Policy = 1,
    Endpoints = 2,
    Members = 3,
    // The evacuated failure domains. Gateways of earlier versions ignore it.
    Evacuations = 4,
};

// Immutable value.
struct Document {
    DocumentKind kind = DocumentKind::Policy;
    // Newer content has a higher version on all gateways; 0 if there is no content.
    std::uint64_t version = 0;
    std::string content;
    // Time since the content was made.
    Duration age{};

    auto operator<=>(const Document &) const = default;
};

// The versions that a gateway has.
using DocumentVersions = std::map<DocumentKind, std::uint64_t>;

} // namespace basilhall::gateway
