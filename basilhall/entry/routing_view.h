// A snapshot of the fleet for the traffic threads: manifest, shard owners and state of this host.
//
//     const ShardOwner *const owner = view->ownerOf(program);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/limit/slice_key.h"
#include "basilhall/manifest/manifest.h"

#include <memory>
#include <optional>
#include <vector>

namespace basilhall::entry
{

// Immutable value.
struct ShardOwner {
    bool isSelf = false;
    // Address of the owner if it is another host; empty if no owner is known.
    std::optional<Address> address;

    auto operator<=>(const ShardOwner &) const = default;
};

// Immutable, so it is shared between threads without a lock.
struct RoutingView {
    // Null until a manifest is in force.
    manifest::ManifestPtr manifest;
    std::vector<ShardOwner> owners;
    bool isDraining = false;

    // Returns the owner of the shard of `program`, or null while none is known.
    const ShardOwner *ownerOf(const ProgramId &program) const;
    const ShardOwner *ownerOf(const limit::SliceKey &slice) const;
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

} // namespace basilhall::entry
