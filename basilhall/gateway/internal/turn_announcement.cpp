#include "basilhall/gateway/internal/turn_announcement.h"

#include <algorithm>
#include <utility>

namespace basilhall::gateway
{

bool mayReceive(const fleet::Regions &regions, const journal::TurnKept &turn,
                const FailureDomain &domain)
{
    return turn.allowed_regions().empty()
        || regions.allows(
            std::vector<std::string>(turn.allowed_regions().begin(), turn.allowed_regions().end()),
            domain);
}

bool mayReceive(const fleet::Regions &regions, const std::vector<journal::Record> &records,
                const FailureDomain &domain)
{
    return std::all_of(records.begin(), records.end(), [&](const journal::Record &record) {
        return !record.has_turn_kept() || mayReceive(regions, record.turn_kept(), domain);
    });
}

bool hasAllowedRegions(const std::vector<journal::Record> &records)
{
    return std::any_of(records.begin(), records.end(), [](const journal::Record &record) {
        return record.has_turn_kept() && !record.turn_kept().allowed_regions().empty();
    });
}

TurnAnnouncement::TurnAnnouncement(const fleet::Regions &regions, wire::Update update,
                                   const journal::TurnKept &turn)
    : m_regions(regions)
    , m_turn(turn)
    , m_update(std::move(update))
{
}

std::shared_ptr<const std::string> TurnAnnouncement::messageFor(const FailureDomain &domain)
{
    const bool isComplete = mayReceive(m_regions, m_turn, domain);
    std::shared_ptr<const std::string> &message = isComplete ? m_complete : m_withheld;
    if (message) {
        return message;
    }
    wire::Update update = m_update;
    if (isComplete) {
        *update.add_turns() = m_turn;
    } else {
        wire::WithheldTurn &turn = *update.add_withheld_turns();
        turn.set_turn_id(m_turn.turn_id());
        turn.set_previous_turn_id(m_turn.previous_turn_id());
        turn.set_kept_until_wall_ms(m_turn.kept_until_wall_ms());
        *turn.mutable_allowed_regions() = m_turn.allowed_regions();
    }
    message = std::make_shared<const std::string>(update.SerializeAsString());
    return message;
}

} // namespace basilhall::gateway
