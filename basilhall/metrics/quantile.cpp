#include "basilhall/metrics/quantile.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>
#include <optional>

namespace basilhall::metrics
{

namespace
{

namespace acc = boost::accumulators;

using Window =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

Window makeWindow()
{
    return Window(acc::extended_p_square_probabilities = kProbabilities);
}

// Values of a window that is complete.
struct WindowValues {
    std::array<double, kProbabilities.size()> values{};
    std::uint64_t count = 0;
};

WindowValues read(const Window &window)
{
    WindowValues result;
    result.count = acc::count(window);
    const auto estimates = acc::extended_p_square(window);
    for (std::size_t i = 0; i < kProbabilities.size(); ++i) {
        result.values[i] = estimates[i];
    }
    return result;
}

} // namespace

class Quantile::Private
{
public:
    mutable std::mutex mutex;
    Window window = makeWindow();
    std::optional<WindowValues> complete;
    std::uint64_t count = 0;
    double sum = 0;
};

Quantile::Quantile()
    : d(std::make_unique<Private>())
{
}

Quantile::~Quantile() = default;

void Quantile::observe(double value)
{
    const std::lock_guard lock(d->mutex);
    d->window(value);
    ++d->count;
    d->sum += value;
}

void Quantile::rotate()
{
    const std::lock_guard lock(d->mutex);
    d->complete = read(d->window);
    d->window = makeWindow();
}

QuantileSnapshot Quantile::snapshot() const
{
    const std::lock_guard lock(d->mutex);
    const WindowValues shown = d->complete ? *d->complete : read(d->window);
    return {shown.values, shown.count, d->count, d->sum};
}

} // namespace basilhall::metrics
