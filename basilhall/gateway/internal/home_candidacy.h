// Decides whether this gateway may become the home of programs that have none.
//
// Holders that learn of each other at different times could choose different homes for one program,
// and each home would admit turns against its whole budget. So one that becomes eligible first
// announces itself to every connected holder and applies what these reply: the programs whose home
// they are. From its receipt on, they leave the programs that it is chosen for to it.
//
//     HomeCandidacy candidacy;
//     candidacy.setEligible(isEligible);
//     candidacy.setHolders(connectedHolders);
//     for (const HomeCandidacy::Announcement &announcement : candidacy.takeDue()) { ... }
//     candidacy.onAcknowledged(announcement);
//     if (candidacy.isConfirmed()) { ... }
#pragma once

#include "basilhall/base/identifier.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe.
class HomeCandidacy
{
public:
    // An announcement to one holder.
    struct Announcement {
        Incarnation holder;
        std::uint64_t number = 0;
        std::uint64_t attempt = 0;

        auto operator<=>(const Announcement &) const = default;
    };

    // True if the gateway with this number may be chosen as a home.
    static bool isCandidate(std::uint64_t number) { return number % 2 == 1; }

    // `isEligible` if this gateway knows all earlier spending.
    void setEligible(bool isEligible);
    // The other holders that are connected and may be chosen.
    void setHolders(const std::set<Incarnation> &holders);
    // Returns the announcements that a holder sends now, none unless it is eligible. Each has to
    // end with one of the calls below.
    std::vector<Announcement> takeDue();
    void onAcknowledged(const Announcement &announcement);
    void onFailed(const Announcement &announcement);

    // Increases with each change of the eligibility, so that messages that arrive out of order can
    // be told apart; see isCandidate(). Never 0.
    std::uint64_t number() const { return m_number; }
    // True if this gateway is eligible and all connected holders know it.
    bool isConfirmed() const;

private:
    struct Holder {
        // Of the announcement in progress; 0 if there is none.
        std::uint64_t attempt = 0;
        bool isAcknowledged = false;
    };

    std::uint64_t m_number = 2;
    std::uint64_t m_attempts = 0;
    std::map<Incarnation, Holder> m_holders;
};

} // namespace basilhall::gateway
