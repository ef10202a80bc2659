// What a stand-in was sent, kept for tests that search it for what must never arrive.
#pragma once

#include "standin/request.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace standin
{

// Keeps the newest requests up to a bound in bytes. Not thread-safe.
class TrafficLog
{
public:
    void record(const Request &request);
    // JSON with `seen`, `dropped` and `requests`.
    std::string describe() const;

private:
    static constexpr std::size_t kMaxBytes = 32 * 1024 * 1024;

    std::deque<Request> m_requests;
    std::size_t m_bytes = 0;
    std::uint64_t m_seen = 0;
};

} // namespace standin
