// Decides whether the first turn of a program is refused because the engines are overloaded.
//
// Load pattern: more programs than the engines finish in their time (a burst, one team that sends
// many times its usual). If all begin, each turn waits behind the others, and few programs end in
// time. Refusing some at their first turn costs only these; turns of programs that have begun are
// always admitted. Less urgent programs are refused first. The share that is refused grows with
// the load, and a program hash decides who belongs to it, so that retries do not pass by chance.
//
//     const EngineLoad load{occupied, slots, placement.stretch(service)};
//     if (refusesProgram(load, priority, hash)) { ... }
#pragma once

#include <compare>
#include <cstdint>

namespace basilhall::placement
{

// Load of the engines of one service. Immutable value.
struct EngineLoad {
    // Unfinished requests of all gateways, and how many the engines run at once.
    std::uint64_t requests = 0;
    std::uint64_t slots = 0;
    // See EngineModel::stretch().
    double stretch = 1;

    auto operator<=>(const EngineLoad &) const = default;
};

// Returns the share of new programs, from 0 to 1, that is refused. `priority` 0 is the most urgent.
double refusedShare(const EngineLoad &load, std::uint32_t priority);

// `programHash` is uniformly distributed over the programs.
bool refusesProgram(const EngineLoad &load, std::uint32_t priority, std::uint64_t programHash);

} // namespace basilhall::placement
