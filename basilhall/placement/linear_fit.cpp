#include "basilhall/placement/linear_fit.h"

namespace basilhall::placement
{

namespace
{

// Weight of a sample after one more sample: about the last 200 samples count.
constexpr double kDecay = 0.995;

} // namespace

LinearFit::LinearFit(SlopePrior prior)
    : m_prior(prior)
{
}

void LinearFit::add(double x, double y)
{
    m_weight = m_weight * kDecay + 1;
    m_sumXX *= kDecay;
    m_sumXY *= kDecay;
    const double beforeX = x - m_meanX;
    m_meanX += beforeX / m_weight;
    m_meanY += (y - m_meanY) / m_weight;
    m_sumXX += beforeX * (x - m_meanX);
    m_sumXY += beforeX * (y - m_meanY);
}

double LinearFit::slope() const
{
    return (m_sumXY + m_prior.slope * m_prior.weight) / (m_sumXX + m_prior.weight);
}

double LinearFit::at(double x) const
{
    return m_meanY + slope() * (x - m_meanX);
}

} // namespace basilhall::placement
