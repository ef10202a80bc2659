#include "basilhall/metrics/registry.h"

#include "basilhall/metrics/process_usage.h"

#include <array>
#include <charconv>
#include <map>
#include <mutex>
#include <stdexcept>

namespace basilhall::metrics
{

namespace
{

template<typename T>
using Series = std::map<std::string, std::unique_ptr<T>, std::less<>>;

template<typename T>
using Family = std::map<Metric, Series<T>>;

std::string toText(double number)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), result.ptr};
}

std::string escaped(std::string_view labelValue)
{
    std::string text;
    for (const char c : labelValue) {
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

// Returns `{label="value",extra}` or nothing.
std::string labels(const MetricTraits &traits, std::string_view value, const std::string &extra)
{
    std::string inner;
    if (!traits.label.empty()) {
        inner = std::string(traits.label) + "=\"" + escaped(value) + "\"";
    }
    if (!extra.empty()) {
        inner += (inner.empty() ? "" : ",") + extra;
    }
    return inner.empty() ? "" : "{" + inner + "}";
}

std::string_view typeName(MetricType type)
{
    switch (type) {
    case MetricType::Counter:
        return "counter";
    case MetricType::Gauge:
        return "gauge";
    case MetricType::Quantile:
        return "summary";
    }
    return "untyped";
}

void appendHead(const MetricTraits &traits, std::string &out)
{
    out += "# HELP " + std::string(traits.name) + " " + std::string(traits.meaning) + "\n";
    out += "# TYPE " + std::string(traits.name) + " " + std::string(typeName(traits.type)) + "\n";
}

void appendSample(const MetricTraits &traits, std::string_view suffix, const std::string &labels,
                  const std::string &value, std::string &out)
{
    out += std::string(traits.name) + std::string(suffix) + labels + " " + value + "\n";
}

void append(const MetricTraits &traits, std::string_view label, const Counter &counter,
            std::string &out)
{
    appendSample(traits, "", labels(traits, label, ""), std::to_string(counter.value()), out);
}

void append(const MetricTraits &traits, std::string_view label, const Gauge &gauge,
            std::string &out)
{
    appendSample(traits, "", labels(traits, label, ""), toText(gauge.value()), out);
}

void append(const MetricTraits &traits, std::string_view label, const Quantile &quantile,
            std::string &out)
{
    const QuantileSnapshot snapshot = quantile.snapshot();
    for (std::size_t i = 0; i < kProbabilities.size(); ++i) {
        const std::string extra = "quantile=\"" + toText(kProbabilities[i]) + "\"";
        const std::string value = snapshot.windowCount == 0 ? "NaN" : toText(snapshot.values[i]);
        appendSample(traits, "", labels(traits, label, extra), value, out);
    }
    const std::string plain = labels(traits, label, "");
    appendSample(traits, "_sum", plain, toText(snapshot.sum), out);
    appendSample(traits, "_count", plain, std::to_string(snapshot.count), out);
}

template<typename T>
void appendFamily(const Family<T> &family, const MetricTraits &traits, std::string &out)
{
    const auto found = family.find(traits.metric);
    if (found == family.end()) {
        return;
    }
    appendHead(traits, out);
    for (const auto &[label, series] : found->second) {
        append(traits, label, *series, out);
    }
}

template<typename T>
T &findOrCreate(Family<T> &family, MetricType type, Metric metric, std::string_view labelValue)
{
    const MetricTraits &traits = metricTraits(metric);
    if (traits.type != type || traits.label.empty() != labelValue.empty()) {
        throw std::logic_error(std::string(traits.name) + " is used with a wrong type or label");
    }
    Series<T> &series = family[metric];
    auto found = series.find(labelValue);
    if (found != series.end()) {
        return *found->second;
    }
    const std::string_view key = series.size() < kMaxLabelValues ? labelValue : kOtherLabel;
    found = series.find(key);
    if (found == series.end()) {
        found = series.emplace(std::string(key), std::make_unique<T>()).first;
    }
    return *found->second;
}

void appendProcess(std::string &out)
{
    const ProcessUsage usage = processUsage();
    const MetricTraits &cpu = metricTraits(Metric::ProcessCpuSeconds);
    appendHead(cpu, out);
    appendSample(cpu, "", "", toText(usage.cpuSeconds), out);
    const MetricTraits &memory = metricTraits(Metric::ProcessResidentBytes);
    appendHead(memory, out);
    appendSample(memory, "", "", std::to_string(usage.residentBytes), out);
}

} // namespace

class Registry::Private
{
public:
    mutable std::mutex mutex;
    Family<Counter> counters;
    Family<Gauge> gauges;
    Family<Quantile> quantiles;
};

Registry::Registry()
    : d(std::make_unique<Private>())
{
}

Registry::~Registry() = default;

Counter &Registry::counter(Metric metric, std::string_view labelValue)
{
    const std::lock_guard lock(d->mutex);
    return findOrCreate(d->counters, MetricType::Counter, metric, labelValue);
}

Gauge &Registry::gauge(Metric metric, std::string_view labelValue)
{
    const std::lock_guard lock(d->mutex);
    return findOrCreate(d->gauges, MetricType::Gauge, metric, labelValue);
}

Quantile &Registry::quantile(Metric metric, std::string_view labelValue)
{
    const std::lock_guard lock(d->mutex);
    return findOrCreate(d->quantiles, MetricType::Quantile, metric, labelValue);
}

void Registry::rotate()
{
    const std::lock_guard lock(d->mutex);
    for (const auto &[metric, series] : d->quantiles) {
        for (const auto &[label, quantile] : series) {
            quantile->rotate();
        }
    }
}

std::string Registry::text() const
{
    std::string out;
    const std::lock_guard lock(d->mutex);
    for (const MetricTraits &traits : metricTable()) {
        appendFamily(d->counters, traits, out);
        appendFamily(d->gauges, traits, out);
        appendFamily(d->quantiles, traits, out);
    }
    appendProcess(out);
    return out;
}

} // namespace basilhall::metrics
