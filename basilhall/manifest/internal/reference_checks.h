// Checks references between the tables of a manifest. Internal to this directory.
#pragma once

#include "basilhall/config/table.h"
#include "basilhall/manifest/content.h"

#include <map>
#include <string>

namespace basilhall::manifest::internal
{

// Not thread-safe. `content` must outlive it.
class ReferenceChecks
{
public:
    explicit ReferenceChecks(const Content &content);

    // Each function adds faults to the table from which the value was read. Call once per value.
    void checkRoute(const Route &route, config::Table &table) const;
    void checkTeam(const Team &team, config::Table &table);
    void checkEndpoint(const Endpoint &endpoint, config::Table &table);

private:
    void checkKeyDigests(const Team &team, config::Table &table);
    void checkServes(const Endpoint &endpoint, config::Table &table) const;
    void checkAddress(const Endpoint &endpoint, const Address &address, std::string_view key,
                      config::Table &table);

    const Content &m_content;
    std::map<std::string, TeamName> m_teamOfDigest;
    std::map<Address, EndpointName> m_endpointOfAddress;
};

} // namespace basilhall::manifest::internal
