#include "basilhall/metrics/reference_page.h"

#include "basilhall/metrics/metric.h"

namespace basilhall::metrics
{

namespace
{

constexpr std::string_view kIntroduction =
    "# Metrics\n\n"
    "Made by `basilhall docs metrics` from the table in `basilhall/metrics/metric.cpp`.\n\n"
    "Each process serves them at `/metrics` of its `operator_listen` address, in the text format\n"
    "of Prometheus. Quantiles (0.5, 0.95, 0.99) cover the last one to two minutes; their count "
    "and\n"
    "sum run from the start. A label has at most 64 values; further ones count as `other`.\n"
    "`/livez` answers 200 while the control thread runs, `/readyz` while the process may serve.\n";

constexpr std::string_view kHead =
    "\n| Metric | Type | Unit | Label | Meaning | What to do when it "
    "moves |\n|---|---|---|---|---|---|\n";

std::string_view toString(MetricType type)
{
    switch (type) {
    case MetricType::Counter:
        return "counter";
    case MetricType::Gauge:
        return "gauge";
    case MetricType::Quantile:
        return "quantiles";
    }
    return "";
}

std::string row(const MetricTraits &traits)
{
    std::string text = "| `" + std::string(traits.name) + "` | ";
    text += std::string(toString(traits.type)) + " | " + std::string(traits.unit) + " | ";
    text += (traits.label.empty() ? "" : "`" + std::string(traits.label) + "`") + " | ";
    text += std::string(traits.meaning) + " | " + std::string(traits.whatToDo) + " |\n";
    return text;
}

std::string section(std::string_view title, MetricScope scope)
{
    std::string text = "\n## " + std::string(title) + "\n" + std::string(kHead);
    for (const MetricTraits &traits : metricTable()) {
        if (traits.scope == scope) {
            text += row(traits);
        }
    }
    return text;
}

} // namespace

std::string referencePage()
{
    return std::string(kIntroduction) + section("Both kinds of process", MetricScope::Both)
        + section("Entry", MetricScope::Entry) + section("Agent", MetricScope::Agent);
}

} // namespace basilhall::metrics
