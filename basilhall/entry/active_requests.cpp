#include "basilhall/entry/active_requests.h"

#include <vector>

namespace basilhall::entry
{

ActiveRequests::Entry::Entry(ActiveRequests &activeRequests, std::string keyDigest,
                             Interrupt &interrupt)
    : m_activeRequests(activeRequests)
    , m_position(activeRequests.m_requests.emplace(std::move(keyDigest), &interrupt))
{
}

ActiveRequests::Entry::~Entry()
{
    m_activeRequests.m_requests.erase(m_position);
}

void ActiveRequests::interruptWithdrawnKeys(const manifest::Manifest &before,
                                            const manifest::Manifest &now)
{
    std::vector<Interrupt *> withdrawn;
    for (const auto &[digest, interrupt] : m_requests) {
        const manifest::Team *const old = before.teamByKeyDigest(digest);
        const manifest::Team *const current = now.teamByKeyDigest(digest);
        const bool isSameTeam = old != nullptr && current != nullptr && old->name == current->name;
        if (!isSameTeam) {
            withdrawn.push_back(interrupt);
        }
    }
    const Error error = Error(ErrorKind::Unauthenticated, "the key has been withdrawn");
    for (Interrupt *const interrupt : withdrawn) {
        interrupt->trigger(error);
    }
}

} // namespace basilhall::entry
