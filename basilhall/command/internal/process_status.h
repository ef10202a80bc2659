// What `status` shows of each process. Included by the sources of this folder alone.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/result.h"

#include <boost/json/value.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::command::internal
{

// One row. Immutable value.
struct ProcessStatus {
    // "entry" or "agent".
    std::string role;
    std::string name;
    // 0 if it has no manifest, or does not answer.
    std::uint64_t generation = 0;
    bool isReachable = false;
    // Some words on its state.
    std::string state;

    auto operator<=>(const ProcessStatus &) const = default;
};

// Returns the rows that the status document of one process gives: an entry process tells about
// itself and about the agents it hears from.
std::vector<ProcessStatus> statusRows(const boost::json::value &document);

// Asks each process and returns the rows of all, ordered by role and name, one for each process.
// A process that does not answer has a row with its address as the name.
std::vector<ProcessStatus> collectStatus(const std::vector<Address> &processes);

} // namespace basilhall::command::internal
