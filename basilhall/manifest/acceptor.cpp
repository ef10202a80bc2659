#include "basilhall/manifest/acceptor.h"

namespace basilhall::manifest
{

namespace
{

Error conflictError(const Candidate &candidate, std::string_view reason)
{
    return Error(ErrorKind::Corrupt,
                 "generation " + std::to_string(candidate.generation()) + " "
                     + std::string(reason));
}

} // namespace

Acceptor::Acceptor(std::vector<std::string> peers)
    : m_pendingPeers(peers.begin(), peers.end())
{
}

ManifestPtr Acceptor::manifest() const
{
    return m_current ? m_current->manifest() : nullptr;
}

OfferVerdict Acceptor::offer(std::string_view source, const Candidate &candidate)
{
    if (!m_current) {
        m_current = candidate;
        updateReadiness();
        return OfferVerdict::Accepted;
    }
    if (candidate.generation() < generation()) {
        return OfferVerdict::NotNewer;
    }
    if (candidate.generation() == generation()) {
        if (candidate.root().chunks == m_current->root().chunks) {
            return OfferVerdict::NotNewer;
        }
        refuse(source, conflictError(candidate, "differs from the one in force"));
        return OfferVerdict::Refused;
    }
    if (candidate.manifest()->shardCount() != m_current->manifest()->shardCount()) {
        refuse(source, conflictError(candidate, "changes the number of shards"));
        return OfferVerdict::Refused;
    }
    m_current = candidate;
    return OfferVerdict::Accepted;
}

void Acceptor::onDamaged(std::string_view source, const Error &error)
{
    refuse(source, error);
}

void Acceptor::onSourceAnswered(std::string_view source)
{
    if (source == kApiSource) {
        m_hasApiAnswered = true;
    } else {
        m_pendingPeers.erase(std::string(source));
    }
    updateReadiness();
}

void Acceptor::onSourceFailed(std::string_view source)
{
    if (source == kApiSource) {
        m_hasApiFailed = true;
    } else {
        m_pendingPeers.erase(std::string(source));
    }
    updateReadiness();
}

void Acceptor::refuse(std::string_view source, const Error &error)
{
    ++m_refusals;
    m_lastRefusal = Error(error.kind(), std::string(source) + ": " + error.message());
}

void Acceptor::updateReadiness()
{
    const bool haveAllPeersAnswered = m_hasApiFailed && m_pendingPeers.empty();
    if (m_current && (m_hasApiAnswered || haveAllPeersAnswered)) {
        m_isReady = true;
    }
}

} // namespace basilhall::manifest
