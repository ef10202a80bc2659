// A number that rises and falls.
#pragma once

#include <atomic>

namespace basilhall::metrics
{

// Thread-safe.
class Gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double difference) { m_value.fetch_add(difference, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value = 0;
};

} // namespace basilhall::metrics
