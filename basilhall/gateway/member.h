// The registration of a gateway in the object API.
//
//     const std::string data = encodeMember(member);
//     Result<Member> decoded = decodeMember(key, data);
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

// Kind of the objects that contain registrations; the object name is the host.
inline constexpr const char *kMemberKind = "gateways";

// Immutable value.
struct Member {
    HostName host;
    Incarnation incarnation;
    // The address that peers connect to.
    Address address;
    FailureDomain failureDomain;
    // CPU limit in thousandths of a core.
    std::uint32_t processorMillis = 0;

    auto operator<=>(const Member &) const = default;
};

wire::Member toWire(const Member &member);
// Error Corrupt if the host or a valid address is missing.
Result<Member> fromWire(const wire::Member &message);

std::string encodeMember(const Member &member);
// Error Corrupt names the object.
Result<Member> decodeMember(const store::ObjectKey &key, std::string_view data);

} // namespace basilhall::gateway
