// Identifies requests that are repeated: the same caller, method, target and body. Two different
// requests have the same key with negligible probability; a collision only shares their evidence.
//
//     const RequestKey key = requestKey({team, "POST", "h", "/read/x?y=1", body});
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace basilhall::suspects
{

// Immutable value.
struct RequestKey {
    std::uint64_t value = 0;

    auto operator<=>(const RequestKey &) const = default;
};

// The views must outlive the call of requestKey() only.
struct RequestIdentity {
    // Empty for callers without a team.
    std::string_view team;
    std::string_view method;
    std::string_view host;
    // Path and query.
    std::string_view target;
    // As the caller sent it.
    std::string_view body;
};

// The same on all hosts and in all versions of the program.
RequestKey requestKey(const RequestIdentity &identity);

} // namespace basilhall::suspects

template<>
struct std::hash<basilhall::suspects::RequestKey> {
    std::size_t operator()(const basilhall::suspects::RequestKey &key) const noexcept
    {
        return key.value;
    }
};
