#include "basilhall/metrics/metric.h"

#include <algorithm>
#include <array>

namespace basilhall::metrics
{

namespace
{

using enum Metric;
using enum MetricType;
using enum MetricScope;

constexpr std::array kTable{
    MetricTraits{CallsStarted, "basilhall_calls_started_total", Counter, Entry, "calls", "kind",
                 "Calls taken up, by `model` or `service`.",
                 "A fall to zero under load: see readiness and the balancer."},
    MetricTraits{CallsFinished, "basilhall_calls_finished_total", Counter, Entry, "calls",
                 "outcome", "Calls answered, by `ok` or the error kind of docs/ERRORS.md.",
                 "A rise of one kind: docs/ERRORS.md says what to do for it."},
    MetricTraits{CallsRefused, "basilhall_calls_refused_total", Counter, Entry, "calls", "kind",
                 "Calls refused before they ran, by error kind.",
                 "`overloaded`: add endpoints. `rate_limited`: see the team's rate."},
    MetricTraits{SuspectsHeld, "basilhall_suspects_held_total", Counter, Entry, "calls", "",
                 "Calls refused because endpoints ended while they ran the same request.",
                 "Find the request by its key in the log: see docs/OPERATIONS.md."},
    MetricTraits{
        StreamsNotContinued, "basilhall_resumption_not_continued_total", Counter, Entry, "calls",
        "",
        "Calls for the rest of a stream refused because it is unknown which version of the "
        "endpoints began it.",
        "Find the reason by the call in the log: see docs/OPERATIONS.md."},
    MetricTraits{
        SentToRemoved, "basilhall_calls_to_removed_endpoints_total", Counter, Entry, "calls", "",
        "Calls sent to endpoints whose registration was removed and may have lapsed in an "
        "outage of the object API.",
        "A rise without an outage: a host keeps removed endpoints; see docs/OPERATIONS.md."},
    MetricTraits{
        ShareLoans, "basilhall_share_loans_total", Counter, Entry, "questions", "outcome",
        "Questions to peers for unused shares of endpoint limits: `asked`, and of these `granted`, "
        "`refused` and `late` (no reply in time).",
        "`refused` near `asked`: the limits are used up; add endpoints. `late`: peers are lost or "
        "slow."},
    MetricTraits{EvacuationSendsStopped, "basilhall_evacuation_sends_stopped_total", Counter, Entry,
                 "calls", "",
                 "Calls that were not sent to the chosen endpoint because the evacuation of its "
                 "failure domain had begun meanwhile.",
                 "A few at the begin of an evacuation are normal; the calls go elsewhere."},
    MetricTraits{ColdEndpoints, "basilhall_endpoints_turned_cold_total", Counter, Entry,
                 "endpoints", "cause", "Endpoints that this host began to treat as cold, by cause.",
                 "`connection_lost` often: look at the endpoints; see docs/OPERATIONS.md."},
    MetricTraits{ColdSends, "basilhall_calls_to_cold_endpoints_total", Counter, Entry, "calls", "",
                 "Calls sent to endpoints that are treated as cold.",
                 "Compare the sum over all hosts with `cold_per_s` of the service."},
    MetricTraits{ColdRefusals, "basilhall_cold_limit_refusals_total", Counter, Entry, "calls", "",
                 "Calls refused because the endpoints that could run them are cold and have got "
                 "what they accept.",
                 "Many endpoints started at once: start fewer at a time, or add endpoints."},
    MetricTraits{CallsRunning, "basilhall_calls_running", Gauge, Entry, "calls", "",
                 "Calls taken up and not answered.",
                 "A steady rise: an endpoint or the object API is slow."},
    MetricTraits{CallSeconds, "basilhall_call_seconds", Quantile, Entry, "seconds", "kind",
                 "Time from taking a call up to the end of its answer.",
                 "Compare with the endpoints' own; the rest is queue and journal."},
    MetricTraits{FirstTokenSeconds, "basilhall_first_token_seconds", Quantile, Entry, "seconds", "",
                 "Time from taking a streamed call up to its first token.",
                 "A rise with `basilhall_endpoint_queued`: too few engines."},
    MetricTraits{ProgramsHeld, "basilhall_programs_held", Gauge, Entry, "programs", "",
                 "Programs that this process owns.",
                 "Far apart between hosts: see the shards that each owns."},
    MetricTraits{ShardsOwned, "basilhall_shards_owned", Gauge, Entry, "shards", "",
                 "Shards that this process owns.",
                 "The sum over all entry hosts is the shard count; less for longer than a takeover "
                 "means that some shards have no owner."},
    MetricTraits{Takeovers, "basilhall_takeovers_total", Counter, Entry, "shards", "",
                 "Shards taken over from an owner that did not release them.",
                 "Each is a host lost or frozen: see `basilhall audit`."},
    MetricTraits{ShardsLost, "basilhall_shards_lost_total", Counter, Entry, "shards", "",
                 "Shards that another host took from this one.",
                 "Each means that this host was frozen or cut off: see `basilhall audit`."},
    MetricTraits{JournalBatches, "basilhall_journal_batches_total", Counter, Entry, "writes", "",
                 "Batches written to the journal.",
                 "The sum over all hosts is the write rate on the object API; raise "
                 "`flush_interval` if it nears the API's limit."},
    MetricTraits{JournalPendingBytes, "basilhall_journal_pending_bytes", Gauge, Entry, "bytes", "",
                 "Records that are not durable.",
                 "A rise: the object API is slow or away; new work is refused at the bound."},
    MetricTraits{JournalOldestPendingSeconds, "basilhall_journal_oldest_pending_seconds", Gauge,
                 Entry, "seconds", "", "Age of the oldest record that is not durable.",
                 "Over a few seconds: the object API is away; see docs/OPERATING.md, outage."},
    MetricTraits{
        JournalPeerRecordsRefused, "basilhall_journal_peer_records_refused_total", Counter, Entry,
        "requests", "",
        "Requests of peers to write records that were refused, because the records would not "
        "become durable soon.",
        "The peers write these records themselves: more calls to the object API until it "
        "answers normally again."},
    MetricTraits{KeptTurnBytes, "basilhall_kept_turn_bytes", Gauge, Entry, "bytes", "",
                 "Content of kept turns in memory.",
                 "At `kept_turn_memory`: older turns are read from the object API when a turn "
                 "continues them."},
    MetricTraits{ObjectApiRequests, "basilhall_object_api_requests_total", Counter, Entry,
                 "requests", "operation", "Requests to the object API, by operation.",
                 "A rise: see which operation; the API counts each."},
    MetricTraits{ObjectApiFailures, "basilhall_object_api_failures_total", Counter, Entry,
                 "requests", "kind", "Requests to the object API that failed, by error kind.",
                 "`store_unavailable`: see docs/OPERATING.md, outage."},
    MetricTraits{ObjectApiSeconds, "basilhall_object_api_seconds", Quantile, Entry, "seconds", "",
                 "Time of one request to the object API.",
                 "Over some tens of milliseconds: the platform is slow; ends of turns wait."},
    MetricTraits{LoopDelaySeconds, "basilhall_loop_delay_seconds", Gauge, Entry, "seconds", "",
                 "Time that each event waits until the process handles it.",
                 "Over 0.04: every step of a request is late; see the processor share."},
    MetricTraits{HostLoadState, "basilhall_host_load_state", Gauge, Entry,
                 "0 normal, 1 late, 2 overloaded", "",
                 "Whether the process keeps up with its own work.",
                 "Not 0: old records and slow calls say nothing about the object API."},
    MetricTraits{ProcessorShare, "basilhall_processor_share", Gauge, Entry, "part of the limit", "",
                 "Processor time used in the last second, relative to the limit of the host.",
                 "Near 1 while the loop is late: the host has no processor time left."},
    MetricTraits{HostLateRefusals, "basilhall_host_late_refusals_total", Counter, Entry, "calls",
                 "", "Calls refused because the process is late with its own work.",
                 "A rise: add hosts or processor time; see `basilhall_loop_delay_seconds`."},
    MetricTraits{EvacuatedDomains, "basilhall_evacuated_domains", Gauge, Entry, "failure domains",
                 "", "Failure domains to whose endpoints this gateway sends nothing.",
                 "Differs between gateways for over 5 s: one reaches neither API nor peers."},
    MetricTraits{EvacuationsNotEverywhere, "basilhall_evacuations_not_everywhere", Gauge, Entry,
                 "failure domains", "",
                 "Evacuated failure domains that some listed gateway is not known to evacuate.",
                 "Over 0 for 5 s: find the gateway with fewer `basilhall_evacuated_domains`."},
    MetricTraits{EvacuationsRevision, "basilhall_evacuations_revision", Gauge, Entry, "revision",
                 "",
                 "Latest revision of the object API for which the known evacuations are known to "
                 "hold.",
                 "Below that of an entry: the gateway does not know the entry; see "
                 "docs/OPERATIONS.md."},
    MetricTraits{EvacuationsAgeSeconds, "basilhall_evacuations_age_seconds", Gauge, Entry,
                 "seconds", "", "Time since the known evacuations were current.",
                 "Over some seconds: neither the object API nor a peer that watches it answers."},
    MetricTraits{ManifestGeneration, "basilhall_manifest_generation", Gauge, Entry, "generation",
                 "", "Generation of the manifest in force.",
                 "Behind the others for over 7 s: the process reaches neither API nor peers."},
    MetricTraits{ManifestRefusals, "basilhall_manifest_refusals_total", Counter, Entry, "offers",
                 "", "Manifests refused as damaged or contradicting.",
                 "The log names the object; see docs/OPERATING.md, damaged manifest."},
    MetricTraits{EndpointHealthy, "basilhall_endpoint_healthy", Gauge, Agent, "1 or 0", "",
                 "1 if the endpoint answers its agent.", "0: look at the endpoint."},
    MetricTraits{EndpointRunning, "basilhall_endpoint_running", Gauge, Agent, "calls", "",
                 "Calls that the endpoint runs.", "At its capacity for long: add endpoints."},
    MetricTraits{EndpointQueued, "basilhall_endpoint_queued", Gauge, Agent, "calls", "",
                 "Calls that wait at the agent.", "A steady rise: add endpoints."},
    MetricTraits{EndpointCancellations, "basilhall_endpoint_cancellations_total", Counter, Agent,
                 "calls", "reason", "Calls cancelled at the endpoint, by reason.",
                 "`superseded`: an owner was lost; see `basilhall audit`."},
    MetricTraits{EndpointCachedPrograms, "basilhall_endpoint_cached_programs", Gauge, Agent,
                 "programs", "", "Programs whose prefix the endpoint's cache holds.",
                 "A fall under load: the cache is too small for the programs."},
    MetricTraits{EndpointTokens, "basilhall_endpoint_tokens_total", Counter, Agent, "tokens",
                 "kind", "Tokens by `prompt`, `cached` and `completion`.",
                 "A fall of `cached` against `prompt`: work is done twice."},
    MetricTraits{LogLevel, "basilhall_log_level", Gauge, Both, "0 debug to 4 off", "",
                 "Level of the log.", "Set it back with `PUT /log-level`."},
    MetricTraits{ProcessCpuSeconds, "process_cpu_seconds_total", Counter, Both, "seconds", "",
                 "Processor time of the process.", "See docs/CAPACITY.md."},
    MetricTraits{ProcessResidentBytes, "process_resident_memory_bytes", Gauge, Both, "bytes", "",
                 "Resident memory of the process.", "See docs/CAPACITY.md."},
};

static_assert(kTable.size() == static_cast<std::size_t>(ProcessResidentBytes) + 1);

} // namespace

const MetricTraits &metricTraits(Metric metric)
{
    return kTable.at(static_cast<std::size_t>(metric));
}

std::span<const MetricTraits> metricTable()
{
    return kTable;
}

const MetricTraits *findMetric(std::string_view name)
{
    const auto *const found = std::find_if(
        kTable.begin(), kTable.end(), [name](const MetricTraits &row) { return row.name == name; });
    return found == kTable.end() ? nullptr : found;
}

} // namespace basilhall::metrics
