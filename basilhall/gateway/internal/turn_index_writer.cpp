#include "basilhall/gateway/internal/turn_index_writer.h"

#include "basilhall/turns/turn_table.h"

#include <algorithm>
#include <utility>

namespace basilhall::gateway
{

TurnIndexWriter::TurnIndexWriter(Incarnation self)
    : m_self(std::move(self))
{
}

void TurnIndexWriter::add(IndexedTurn turn)
{
    m_unsaved.push_back(std::move(turn));
}

std::optional<TurnIndexPart> TurnIndexWriter::beginPart(const turns::TurnTable &table,
                                                        journal::BatchNumber firstBatch)
{
    if (m_part) {
        return std::nullopt;
    }
    if (m_failedPart) {
        m_part = std::exchange(m_failedPart, std::nullopt);
        return m_part;
    }
    std::vector<IndexedTurn> listed = unsaved(table, firstBatch);
    if (listed.size() < kIndexPartTurns) {
        return std::nullopt;
    }
    m_part = TurnIndexPart{m_self, m_unsaved.back().stored.batch, std::move(listed)};
    return m_part;
}

std::optional<journal::BatchNumber> TurnIndexWriter::onPartWritten(bool isDurable)
{
    if (!isDurable) {
        m_failedPart = std::exchange(m_part, std::nullopt);
        return std::nullopt;
    }
    m_lastSavedBatch = m_part->lastBatch;
    m_part.reset();
    std::erase_if(m_unsaved, [this](const IndexedTurn &turn) {
        return turn.stored.batch <= m_lastSavedBatch;
    });
    return m_lastSavedBatch;
}

std::vector<IndexedTurn> TurnIndexWriter::unsaved(const turns::TurnTable &table,
                                                  journal::BatchNumber firstBatch)
{
    std::erase_if(m_unsaved,
                  [firstBatch](const IndexedTurn &turn) { return turn.stored.batch < firstBatch; });
    std::vector<IndexedTurn> listed = m_unsaved;
    for (IndexedTurn &turn : listed) {
        if (const turns::StoredTurn *stored = table.stored(turn.id)) {
            turn.stored.keptUntil = std::max(turn.stored.keptUntil, stored->keptUntil);
        }
    }
    return listed;
}

} // namespace basilhall::gateway
