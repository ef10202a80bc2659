// An entry host in the platform's host list.
//
//     hostView.onListed({ListedHost{HostName("entry-1"), address}}, now);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"

#include <compare>

namespace basilhall::membership
{

// Immutable value.
struct ListedHost {
    HostName host;
    Address address;
    bool leaving = false;

    auto operator<=>(const ListedHost &) const = default;
};

} // namespace basilhall::membership
