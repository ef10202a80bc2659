// Requests that begin alike, such as the prompts of one program, which grow by each answer, or all
// prompts of one application.
//
// The same request may come with another body each time, so what its family did to endpoints counts
// against it. Many sound requests may begin like it, too: the family counts only if several of its
// bodies ended endpoints and none had a complete run lately. Otherwise the single body counts.
//
//     RequestFamilies families;
//     families.onBroken(family, body);
//     families.onCompleted(family, now);
//     const bool counts = families.isSuspicious(family, now);
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/suspects/request_key.h"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>

namespace basilhall::suspects
{

// Not thread-safe.
class RequestFamilies
{
public:
    // A run of a member broke, here or at a peer.
    void onBroken(RequestKey family, RequestKey body, Instant now);
    // A member had a complete run.
    void onCompleted(RequestKey family, Instant now);
    // True if the ends of the family are to be held against each of its members.
    bool isSuspicious(RequestKey family, Instant now) const;
    // Returns the family of a body with a broken run.
    std::optional<RequestKey> familyOf(RequestKey body) const;
    // Forgets families without a broken or complete run for kRetention.
    void expire(Instant now);
    std::size_t size() const { return m_families.size(); }

    static constexpr std::size_t kMaxFamilies = 4096;
    static constexpr std::size_t kMaxBodies = 8;
    // Bodies that must have ended endpoints before their family counts.
    static constexpr std::size_t kMinBodies = 2;
    // Time for which a complete run speaks for the family.
    static constexpr Duration kSoundTime = std::chrono::minutes(10);
    static constexpr Duration kRetention = std::chrono::hours(1);

private:
    struct Family {
        // Bodies with a broken run since the last complete run of the family.
        std::set<RequestKey> bodies;
        std::optional<Instant> completedAt;
        Instant changedAt;
    };

    Family &family(RequestKey key, Instant now);
    void forget(std::unordered_map<RequestKey, Family>::iterator at);

    std::unordered_map<RequestKey, Family> m_families;
    std::unordered_map<RequestKey, RequestKey> m_familyByBody;
};

} // namespace basilhall::suspects
