// Keeps the content of turns in memory as long as it exists.
//
//     const PinnedTurns chain(table, table.chainIds(id));
#pragma once

#include "basilhall/turns/turn_table.h"

#include <memory>
#include <utility>
#include <vector>

namespace basilhall::turns
{

// Not thread-safe. Has no effect once the table is destroyed.
class PinnedTurns
{
public:
    PinnedTurns(TurnTable &table, std::vector<TurnId> ids)
        : m_table(table)
        , m_lifetime(table.lifetime())
        , m_ids(std::move(ids))
    {
        for (const TurnId &id : m_ids) {
            m_table.pin(id);
        }
    }
    ~PinnedTurns()
    {
        if (m_lifetime.expired()) {
            return;
        }
        for (const TurnId &id : m_ids) {
            m_table.unpin(id);
        }
    }
    PinnedTurns(const PinnedTurns &) = delete;
    PinnedTurns &operator=(const PinnedTurns &) = delete;

private:
    TurnTable &m_table;
    std::weak_ptr<const void> m_lifetime;
    std::vector<TurnId> m_ids;
};

} // namespace basilhall::turns
