// The turns that were appended to the local journal and are not durable yet, in their order.
//
//     AppendedTurns appended;
//     appended.add(ticket, record.turn_kept());
//     for (const IndexedTurn &turn : appended.takeDurable(durableTicket, self, batch)) { ... }
#pragma once

#include "basilhall/gateway/turn_index.h"
#include "basilhall/journal/record.pb.h"
#include "basilhall/journal/writer.h"

#include <deque>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe.
class AppendedTurns
{
public:
    // Call it with rising tickets.
    void add(journal::RecordTicket ticket, const journal::TurnKept &turn)
    {
        m_turns.push_back({ticket,
                           {turns::TurnId(turn.turn_id()),
                            {Incarnation(),
                             0,
                             turns::TurnId(turn.previous_turn_id()),
                             turn.kept_until_wall_ms(),
                             {turn.allowed_regions().begin(), turn.allowed_regions().end()}}}});
    }

    // Removes the turns up to the ticket `durable` and returns where each is stored: in the batch
    // `number` of the journal.
    std::vector<IndexedTurn> takeDurable(journal::RecordTicket durable, const Incarnation &journal,
                                         journal::BatchNumber number)
    {
        std::vector<IndexedTurn> taken;
        while (!m_turns.empty() && m_turns.front().ticket <= durable) {
            IndexedTurn &turn = taken.emplace_back(std::move(m_turns.front().turn));
            turn.stored.journal = journal;
            turn.stored.batch = number;
            m_turns.pop_front();
        }
        return taken;
    }

private:
    struct AppendedTurn {
        journal::RecordTicket ticket;
        IndexedTurn turn;
    };

    std::deque<AppendedTurn> m_turns;
};

} // namespace basilhall::gateway
