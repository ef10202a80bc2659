// Which gateways may receive kept turns with allowed regions, and the messages that announce a turn
// to the subscribers that store all turns. Those outside its allowed regions are told that it
// exists, so that they do not answer that it does not, but do not get its content.
//
//     TurnAnnouncement announcement(regions, newUpdate(), turn);
//     subscriber.send(announcement.messageFor(subscriber.failureDomain));
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/regions.h"
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/journal/record.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace basilhall::gateway
{

// True if a host of the failure domain may hold the turn.
bool mayReceive(const fleet::Regions &regions, const journal::TurnKept &turn,
                const FailureDomain &domain);
// True if a host of the failure domain may hold all turns among the records.
bool mayReceive(const fleet::Regions &regions, const std::vector<journal::Record> &records,
                const FailureDomain &domain);
// True if a turn among the records has allowed regions. That few gateways or none may take such
// records says nothing about others.
bool hasAllowedRegions(const std::vector<journal::Record> &records);

// Not thread-safe. The references must outlive it.
class TurnAnnouncement
{
public:
    // `update` states what every update of this gateway states.
    TurnAnnouncement(const fleet::Regions &regions, wire::Update update,
                     const journal::TurnKept &turn);

    std::shared_ptr<const std::string> messageFor(const FailureDomain &domain);

private:
    const fleet::Regions &m_regions;
    const journal::TurnKept &m_turn;
    const wire::Update m_update;
    // Made when a subscriber needs them.
    std::shared_ptr<const std::string> m_complete;
    std::shared_ptr<const std::string> m_withheld;
};

} // namespace basilhall::gateway
