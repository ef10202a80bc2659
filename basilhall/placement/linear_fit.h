// Fits a line to the most recent samples of a noisy quantity.
//
//     LinearFit fit({.slope = 0.007, .weight = 1e7});
//     fit.add(tokens, milliseconds);
//     double expected = fit.at(2000);
#pragma once

#include <compare>

namespace basilhall::placement
{

// The slope that is assumed before there are samples, and how much it counts: the sum of squared
// deviations of x at which samples count as much as the assumption.
struct SlopePrior {
    double slope = 0;
    double weight = 0;

    auto operator<=>(const SlopePrior &) const = default;
};

// Least squares with exponentially decaying weights. Not thread-safe.
class LinearFit
{
public:
    explicit LinearFit(SlopePrior prior);

    void add(double x, double y);
    double slope() const;
    // Expected value at `x`; the fitted line goes through the mean of the samples.
    double at(double x) const;
    double meanY() const { return m_meanY; }
    // Sum of the weights of all samples; approaches a limit as old samples decay.
    double weight() const { return m_weight; }

private:
    SlopePrior m_prior;
    double m_weight = 0;
    double m_meanX = 0;
    double m_meanY = 0;
    // Weighted sums of products of deviations from the means.
    double m_sumXX = 0;
    double m_sumXY = 0;
};

} // namespace basilhall::placement
