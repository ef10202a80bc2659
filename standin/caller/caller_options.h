// What the caller calls and how.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace standin
{

struct CallerTarget {
    std::string ip;
    std::uint16_t port = 0;
};

struct CallerOptions {
    // Entry hosts, taken in turn.
    std::vector<CallerTarget> entries;
    std::string key;
    std::string model;
    // First part of every program's name; must be new for each run.
    std::string run = "run";
    std::size_t programs = 4;
    std::size_t turns = 4;
    // Length of a tool pause.
    std::chrono::milliseconds pause{50};
    // Routes to services; empty for none.
    std::string toolRoute;
    std::string orderRoute;
    // Time of one HTTP call.
    std::chrono::milliseconds timeout{30'000};
    // How long a call that was refused or lost is tried again.
    std::chrono::milliseconds retryFor{30'000};
    // Load mode: number of calls, of connections, and of calls in one program.
    std::size_t calls = 0;
    std::size_t connections = 16;
    std::size_t callsPerProgram = 10;
    bool keepPrograms = false;
};

} // namespace standin
