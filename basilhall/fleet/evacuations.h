// The evacuated failure domains, as one gateway knows them: nothing is to be sent to their
// endpoints.
//
//     EvacuationView view(true);
//     if (const auto change = view.apply({{FailureDomain("b")}, 17}, now)) { ... }
//     const SendDecision decision = view.decide(endpoint.failureDomain, now);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

namespace basilhall::fleet
{

// Immutable value.
struct Evacuations {
    std::set<FailureDomain> domains;
    // Revision of the object API for which this holds; 0 if unknown.
    std::uint64_t revision = 0;

    auto operator<=>(const Evacuations &) const = default;
};

// Whether a request may be sent to an endpoint, and what that was decided on. Immutable value.
struct SendDecision {
    bool isAllowed = false;
    std::uint64_t revision = 0;
    // Time since the view was known to be current; nullopt if there is none.
    std::optional<Duration> age;

    auto operator<=>(const SendDecision &) const = default;
};

// Not thread-safe.
class EvacuationView
{
public:
    // Without `isWatched`, the view is empty and known, and never changes.
    explicit EvacuationView(bool isWatched);

    struct Change {
        std::set<FailureDomain> begun;
        std::set<FailureDomain> ended;

        auto operator<=>(const Change &) const = default;
    };
    // Applies a complete list that was current at `at`; nullopt if that changes nothing. An older
    // list than the known one is ignored. The first list always counts as a change.
    std::optional<Change> apply(const Evacuations &listed, Instant at);
    // The view is known to have been current at `at`.
    void noteCurrent(Instant at);

    bool isWatched() const { return m_isWatched; }
    // False before the first list; nothing may be sent until then.
    bool isKnown() const { return m_currentAt || !m_isWatched; }
    const Evacuations &current() const { return m_current; }
    // nullopt before the first list.
    std::optional<Instant> currentAt() const { return m_currentAt; }
    SendDecision decide(const FailureDomain &domain, Instant now) const;

private:
    bool m_isWatched;
    Evacuations m_current;
    std::optional<Instant> m_currentAt;
};

} // namespace basilhall::fleet
