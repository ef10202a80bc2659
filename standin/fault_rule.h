// One fault that a stand-in shows on the requests that it matches.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace standin
{

enum class FaultKind {
    // Waits `delayMs` before the request runs.
    Delay,
    // Waits until the rules change, then runs the request if its client is still there.
    Hang,
    // Answers `status` without running the request.
    Status,
    // Closes the connection before the request runs.
    DropBefore,
    // Runs the request, then closes the connection instead of answering.
    DropAfter,
    // Runs the request, then waits `delayMs` before it answers.
    DelayAfter,
    // Closes the connection after `afterBytes` bytes of the answer's body.
    Truncate,
    // Replaces the answer's body by bytes that are neither JSON nor server-sent events.
    Garble,
};

struct FaultRule {
    FaultKind kind = FaultKind::Delay;
    int delayMs = 0;
    int status = 503;
    std::size_t afterBytes = 0;
    // Number of requests that the rule still takes; negative without end.
    std::int64_t count = -1;
    // Share of the matching requests that the rule takes, from 0 to 1.
    double share = 1.0;
    // Empty for all methods.
    std::vector<std::string> methods;
    // Empty for all paths.
    std::string pathContains;
    // Requests that the rule has taken.
    std::uint64_t hits = 0;
};

} // namespace standin
