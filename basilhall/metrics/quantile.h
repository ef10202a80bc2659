// Quantiles of a stream of values in constant memory, by the P-square estimator of
// Boost.Accumulators.
//
//     quantile.observe(0.125);
//     quantile.snapshot().values; // of 0.5, 0.95 and 0.99
#pragma once

#include <array>
#include <cstdint>
#include <memory>

namespace basilhall::metrics
{

// Probabilities whose quantiles are kept.
inline constexpr std::array kProbabilities{0.5, 0.95, 0.99};

// Immutable value.
struct QuantileSnapshot {
    // Of the last complete window, or of the current one if there is no complete one. In the order
    // of kProbabilities; valid if `windowCount` is not 0.
    std::array<double, kProbabilities.size()> values{};
    std::uint64_t windowCount = 0;
    // Since the start.
    std::uint64_t count = 0;
    double sum = 0;
};

// Thread-safe; observe() takes a mutex for some tens of nanoseconds.
class Quantile
{
public:
    Quantile();
    ~Quantile();
    Quantile(const Quantile &) = delete;
    Quantile &operator=(const Quantile &) = delete;

    void observe(double value);
    // Ends the window: old values no longer count. Called once a minute.
    void rotate();
    QuantileSnapshot snapshot() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::metrics
