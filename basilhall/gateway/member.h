// A gateway as it registered itself.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/store/object_key.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace basilhall::gateway
{

namespace wire
{
class Member;
}

// Kind of the objects that hold registrations; the name is the host's.
inline constexpr const char *kMemberKind = "gateways";

// Immutable value.
struct Member {
    HostName host;
    Incarnation incarnation;
    // Where peers connect.
    Address address;
    FailureDomain failureDomain;
    // Thousandths of a core that it may use.
    std::uint32_t processorMillis = 0;

    auto operator<=>(const Member &) const = default;
};

wire::Member toWire(const Member &member);
// Corrupt if the message names no address.
Result<Member> fromWire(const wire::Member &message);

std::string encodeMember(const Member &member);
// Corrupt names the object.
Result<Member> decodeMember(const store::ObjectKey &key, std::string_view data);

} // namespace basilhall::gateway
