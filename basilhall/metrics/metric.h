// The closed list of metrics and the table that describes them.
//
//     const MetricTraits &traits = metricTraits(Metric::CallSeconds);
//
// docs/METRICS.md is made from the same table.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace basilhall::metrics
{

enum class Metric {
    // Calls of callers.
    CallsStarted,
    CallsFinished,
    CallsRefused,
    SuspectsHeld,
    StreamsNotContinued,
    SentToRemoved,
    ShareLoans,
    EvacuationSendsStopped,
    ColdEndpoints,
    ColdSends,
    ColdRefusals,
    CallsRunning,
    CallSeconds,
    FirstTokenSeconds,
    // Programs and their owners.
    ProgramsHeld,
    ShardsOwned,
    Takeovers,
    ShardsLost,
    // Journal and object API.
    JournalBatches,
    JournalPendingBytes,
    JournalOldestPendingSeconds,
    JournalPeerRecordsRefused,
    KeptTurnBytes,
    ObjectApiRequests,
    ObjectApiFailures,
    ObjectApiSeconds,
    // Load of the host.
    LoopDelaySeconds,
    HostLoadState,
    ProcessorShare,
    HostLateRefusals,
    // Evacuations of failure domains.
    EvacuatedDomains,
    EvacuationsNotEverywhere,
    EvacuationsRevision,
    EvacuationsAgeSeconds,
    // Manifest.
    ManifestGeneration,
    ManifestRefusals,
    // Endpoint and agent.
    EndpointHealthy,
    EndpointRunning,
    EndpointQueued,
    EndpointCancellations,
    EndpointCachedPrograms,
    EndpointTokens,
    // Process.
    LogLevel,
    ProcessCpuSeconds,
    ProcessResidentBytes,
};

enum class MetricType {
    // Only rises.
    Counter,
    Gauge,
    // Quantiles over the last one to two minutes, count and sum since the start.
    Quantile,
};

// Which processes have a metric.
enum class MetricScope {
    Entry,
    Agent,
    Both,
};

struct MetricTraits {
    Metric metric;
    // Name in the Prometheus text; its end names the unit.
    std::string_view name;
    MetricType type;
    MetricScope scope;
    std::string_view unit;
    // Name of the one label; empty if there is none.
    std::string_view label;
    std::string_view meaning;
    std::string_view whatToDo;
};

// Returns the row of `metric`. Thread-safe.
const MetricTraits &metricTraits(Metric metric);

// Returns the whole table in the order of the enumeration.
std::span<const MetricTraits> metricTable();

// Returns the row with this name; nullptr if there is none.
const MetricTraits *findMetric(std::string_view name);

} // namespace basilhall::metrics
