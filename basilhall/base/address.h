// Where a process listens: an IP number and a port.
#pragma once

#include "basilhall/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace basilhall
{

// Immutable value.
struct Address {
    // IP number in text form; never a host name.
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

// Parses `127.0.0.1:8080` or `[::1]:8080`. InvalidRequest names the text otherwise.
Result<Address> parseAddress(std::string_view text);

// Returns the form that parseAddress takes.
std::string toString(const Address &address);

} // namespace basilhall
