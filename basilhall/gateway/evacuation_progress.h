// Decides what there is to report about the progress of evacuations.
//
//     EvacuationProgress progress;
//     progress.onChanged(change, revision, now);
//     for (const EvacuationProgress::Event &event : progress.check(fleet, isKnownToAll, now)) { ...
//     }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/fleet/evacuations.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe.
class EvacuationProgress
{
public:
    enum class EventKind {
        // The evacuation is in effect at all listed gateways.
        InEffectEverywhere,
        // The end of the evacuation is in effect at all listed gateways.
        EndedEverywhere,
        // No host or endpoint has the failure domain.
        UnknownDomain,
        // The failure domains of all endpoints are evacuated.
        AllDomains,
        NotAllDomains,
    };
    struct Event {
        EventKind kind = EventKind::InEffectEverywhere;
        // Empty if the event is about all domains.
        FailureDomain domain;
        // Revision at which this gateway learned of the change.
        std::uint64_t revision = 0;
        // Time since then.
        Duration after{};

        auto operator<=>(const Event &) const = default;
    };
    // The failure domains that are in use.
    struct Fleet {
        std::set<FailureDomain> ofHosts;
        std::set<FailureDomain> ofEndpoints;
    };

    // Time after which an evacuated domain that is not in use is reported: hosts and endpoints may
    // become known after the evacuations.
    static constexpr Duration kUnknownDomainDelay = std::chrono::seconds(2);

    // The view of this gateway has changed.
    void onChanged(const fleet::EvacuationView::Change &change, std::uint64_t revision,
                   Instant now);
    // Returns what is new since the last call. `isKnownToAll` tells whether all listed gateways
    // know a revision of the evacuations.
    std::vector<Event> check(const Fleet &fleet,
                             const std::function<bool(std::uint64_t)> &isKnownToAll, Instant now);
    // Number of evacuations that are not known to be in effect at all listed gateways.
    std::size_t pendingCount() const;

private:
    struct Entry {
        std::uint64_t revision = 0;
        Instant since;
        bool isEnded = false;
        bool isEverywhere = false;
        // The domain was in use, or is reported as unknown.
        bool isDomainChecked = false;
    };

    // By evacuated domain, or one whose evacuation has not ended everywhere.
    std::map<FailureDomain, Entry> m_entries;
    bool m_isAll = false;
};

} // namespace basilhall::gateway
