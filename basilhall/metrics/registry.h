// Holds the metrics of one process.
//
//     Registry registry;
//     Counter &finished = registry.counter(Metric::CallsFinished, "ok");
//     finished.add();
//     registry.text(); // for the metrics collector
#pragma once

#include "basilhall/metrics/counter.h"
#include "basilhall/metrics/gauge.h"
#include "basilhall/metrics/metric.h"
#include "basilhall/metrics/quantile.h"

#include <memory>
#include <string>
#include <string_view>

namespace basilhall::metrics
{

// Label values of one metric; further ones count as kOtherLabel.
inline constexpr std::size_t kMaxLabelValues = 64;
inline constexpr std::string_view kOtherLabel = "other";

// Thread-safe. References stay valid as long as the registry; look them up once and keep them,
// since each look-up takes a mutex.
class Registry
{
public:
    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    // Each takes the value of the label that the table names, or nothing if it names none. Throws
    // std::logic_error if `metric` is of another type.
    Counter &counter(Metric metric, std::string_view labelValue = {});
    Gauge &gauge(Metric metric, std::string_view labelValue = {});
    Quantile &quantile(Metric metric, std::string_view labelValue = {});

    // Ends the window of all quantiles. Call once a minute.
    void rotate();
    // Returns all metrics in the text format of Prometheus, version 0.0.4.
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::metrics
