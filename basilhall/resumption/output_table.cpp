#include "basilhall/resumption/output_table.h"

#include <algorithm>

namespace basilhall::resumption
{

OutputVerdict OutputTable::add(const StreamOutput &part, std::size_t firstIndex)
{
    const auto known = m_outputs.find(part.stream);
    const bool isKnown = known != m_outputs.end();
    if (isKnown && known->second.isLaterThan(part)) {
        return OutputVerdict::Superseded;
    }
    const bool isSameAttempt = isKnown && !part.isLaterThan(known->second);
    if (!isSameAttempt && firstIndex > 0) {
        return OutputVerdict::Gap;
    }
    if (!isSameAttempt) {
        m_bytes += part.bytes();
        m_bytes -= isKnown ? known->second.bytes() : 0;
        m_outputs.insert_or_assign(part.stream, part);
        dropBeyondBound(part.stream);
        return OutputVerdict::Accepted;
    }
    std::vector<SaidEvent> &events = known->second.events;
    if (events.size() < firstIndex) {
        return OutputVerdict::Gap;
    }
    known->second.keptUntil = std::max(known->second.keptUntil, part.keptUntil);
    // A part that was sent again may begin with known events.
    for (std::size_t i = events.size() - firstIndex; i < part.events.size(); ++i) {
        m_bytes += bytesOf(part.events[i]);
        events.push_back(part.events[i]);
    }
    dropBeyondBound(part.stream);
    return OutputVerdict::Accepted;
}

const StreamOutput *OutputTable::find(const CallId &stream) const
{
    const auto found = m_outputs.find(stream);
    return found == m_outputs.end() ? nullptr : &found->second;
}

void OutputTable::expire(WallMillis now)
{
    for (auto output = m_outputs.begin(); output != m_outputs.end();) {
        if (output->second.keptUntil < now) {
            m_bytes -= output->second.bytes();
            output = m_outputs.erase(output);
        } else {
            ++output;
        }
    }
}

void OutputTable::dropBeyondBound(const CallId &added)
{
    while (m_bytes > kMaxBytes && m_outputs.size() > 1) {
        const auto endsFirst = std::min_element(
            m_outputs.begin(), m_outputs.end(), [&added](const auto &a, const auto &b) {
                const auto rank = [&added](const auto &entry) {
                    return std::pair(entry.first == added, entry.second.keptUntil);
                };
                return rank(a) < rank(b);
            });
        m_bytes -= endsFirst->second.bytes();
        m_outputs.erase(endsFirst);
    }
}

} // namespace basilhall::resumption
