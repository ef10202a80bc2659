// The status of an entry host as shown to operators.
//
//     const std::string document = toJson(status);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/membership/entry_host.h"
#include "basilhall/wire/wire.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::entry
{

struct HostStatus {
    HostName host;
    Incarnation incarnation;
    // 0 if no manifest is in force.
    std::uint64_t manifestGeneration = 0;
    bool isDraining = false;
    std::size_t ownedShards = 0;
    std::size_t programs = 0;
    std::size_t callsInProgress = 0;
    std::size_t journalPendingBytes = 0;
    bool isJournalSealed = false;
    std::vector<membership::EntryHost> peers;
    // Latest load reports of the agents.
    std::vector<wire::LoadReport> endpoints;
};

// Returns the JSON document of the operator endpoint's `/status`.
std::string toJson(const HostStatus &status);

} // namespace basilhall::entry
