#include "basilhall/fleet/evacuations.h"

#include <algorithm>
#include <iterator>

namespace basilhall::fleet
{

namespace
{

std::set<FailureDomain> difference(const std::set<FailureDomain> &from,
                                   const std::set<FailureDomain> &removed)
{
    std::set<FailureDomain> result;
    std::set_difference(from.begin(), from.end(), removed.begin(), removed.end(),
                        std::inserter(result, result.end()));
    return result;
}

} // namespace

EvacuationView::EvacuationView(bool isWatched)
    : m_isWatched(isWatched)
{
}

std::optional<EvacuationView::Change> EvacuationView::apply(const Evacuations &listed, Instant at)
{
    if (!m_isWatched || (listed.revision != 0 && listed.revision < m_current.revision)) {
        return std::nullopt;
    }
    const bool isFirst = !isKnown();
    const Change change{difference(listed.domains, m_current.domains),
                        difference(m_current.domains, listed.domains)};
    m_current.domains = listed.domains;
    m_current.revision = std::max(m_current.revision, listed.revision);
    m_currentAt = std::max(m_currentAt.value_or(at), at);
    return isFirst || change != Change() ? std::optional(change) : std::nullopt;
}

void EvacuationView::noteCurrent(Instant at)
{
    if (m_currentAt) {
        m_currentAt = std::max(*m_currentAt, at);
    }
}

SendDecision EvacuationView::decide(const FailureDomain &domain, Instant now) const
{
    return {isKnown() && !m_current.domains.contains(domain), m_current.revision,
            m_currentAt ? std::optional(now - *m_currentAt) : std::nullopt};
}

} // namespace basilhall::fleet
