#include "basilhall/resumption/process_proofs.h"

namespace basilhall::resumption
{

void ProcessProofs::add(const EndpointName &endpoint, WallMillis startedAt, Instant askedAt)
{
    const auto [at, isNew] = m_proofs.try_emplace(endpoint, Proof{startedAt, askedAt});
    if (!isNew && askedAt >= at->second.askedAt) {
        at->second = {startedAt, askedAt};
    }
}

bool ProcessProofs::contains(const EndpointName &endpoint, WallMillis startedAt,
                             Instant connectedAt) const
{
    const auto found = m_proofs.find(endpoint);
    return found != m_proofs.end() && found->second.startedAt == startedAt
        && found->second.askedAt >= connectedAt;
}

void ProcessProofs::expire(Instant limit)
{
    std::erase_if(m_proofs, [limit](const auto &entry) { return entry.second.askedAt < limit; });
}

} // namespace basilhall::resumption
