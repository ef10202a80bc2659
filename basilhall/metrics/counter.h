// A number that only rises.
#pragma once

#include <atomic>
#include <cstdint>

namespace basilhall::metrics
{

// Thread-safe.
class Counter
{
public:
    void add(std::uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

} // namespace basilhall::metrics
