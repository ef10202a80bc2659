#include "basilhall/settings/key_spec.h"

#include <algorithm>
#include <array>

namespace basilhall::settings
{

namespace
{

using namespace std::chrono_literals;

constexpr std::int64_t nanoseconds(Duration duration)
{
    return duration.count();
}

constexpr std::array kTable{
    KeySpec{"process", KeyScope::All, KeyType::Choice, "", "`entry`, `agent`, `gateway`, `steward`",
            "", true, "Kind of process that the file is for."},
    KeySpec{"host", KeyScope::All, KeyType::Name, "", "1 to 63 letters, digits, `-`, `_` and `.`",
            "", true, "Name of the host, as in the manifest and the host list."},
    KeySpec{"failure_domain", KeyScope::All, KeyType::Name, "",
            "1 to 63 letters, digits, `-`, `_` and `.`", "", true, "Failure domain of the host."},
    KeySpec{"peer_listen", KeyScope::PeerConnected, KeyType::Address, "", "", "", true,
            "Address for connections of other processes of basilhall."},
    KeySpec{"operator_listen", KeyScope::All, KeyType::Address, "", "", "", true,
            "Address for connections of operators and the metrics collector."},
    KeySpec{"listen", KeyScope::CallerFacing, KeyType::Address, "", "", "", true,
            "Address for connections of callers."},
    KeySpec{"object_api", KeyScope::StoreUsers, KeyType::Address, "", "", "", true,
            "Address of the platform's object API."},
    KeySpec{"object_namespace", KeyScope::Entry, KeyType::Name, "",
            "1 to 63 letters, digits, `-`, `_` and `.`", "\"basilhall\"", false,
            "Namespace of the object API that holds the objects of this deployment."},
    KeySpec{"host_list", KeyScope::Entry, KeyType::Address, "", "", "", false,
            "Address of the platform's host list. Without it, only peers decide whether a "
            "host is available."},
    KeySpec{"data_folder", KeyScope::Entry, KeyType::Path, "", "", "", false,
            "Folder on a small disk for bulk data. Without it, nothing is kept on the host."},
    KeySpec{"traffic_threads", KeyScope::Entry, KeyType::Count, "threads", "1 to 64", "2", false,
            "Number of threads for traffic, in addition to the control thread.", 1, 64},
    KeySpec{
        "flush_interval", KeyScope::Entry, KeyType::Duration, "duration", "1 ms to 10 s",
        "\"20 ms\"", false,
        "Minimum time between two writes of the journal. A longer interval means fewer writes to "
        "the object API, but turns end later.",
        nanoseconds(1ms), nanoseconds(10s)},
    KeySpec{"ready_listen", KeyScope::Gateway, KeyType::Address, "", "", "", true,
            "Address on which the platform checks whether the host accepts callers."},
    KeySpec{"processor_share", KeyScope::Gateway, KeyType::Number, "cores", "0.001 to 1024", "1",
            false,
            "Processor share that the process may use. The gateway with the largest share writes "
            "the journal for the others, if that share is sufficient."},
    KeySpec{
        "shutdown_grace", KeyScope::Gateway, KeyType::Duration, "duration", "1 s to 10 min",
        "\"8 s\"", false,
        "Time from SIGTERM until the platform kills the process. Requests that are still running "
        "shortly before that are aborted.",
        nanoseconds(1s), nanoseconds(10min)},
    KeySpec{"evacuation_bound", KeyScope::Gateway, KeyType::Duration, "duration", "1 s to 1 h", "",
            false,
            "Time within which evacuations of failure domains take effect. Without it, the gateway "
            "does not watch for evacuations.",
            nanoseconds(1s), nanoseconds(1h)},
    KeySpec{"regions", KeyScope::Gateway, KeyType::Text, "", "`domain=region,domain=region`",
            "\"\"", false,
            "Region of each failure domain. If it is not empty, it must include the own one."},
    KeySpec{"cold_overshoot", KeyScope::Gateway, KeyType::Number, "", "1 to 1000", "1", false,
            "Factor on the rate of a cold endpoint that is tolerated."},
    KeySpec{"cold_tolerance", KeyScope::Gateway, KeyType::Number, "requests per second",
            "0 to 10000", "0", false,
            "Requests per second that a cold endpoint tolerates in addition to that."},
    KeySpec{"limit_warm_endpoints", KeyScope::Gateway, KeyType::Flag, "", "`true`, `false`",
            "false", false,
            "True if endpoints that may become cold without notice are limited while they are "
            "warm, too. Requests then leave the endpoints that hold their prompts more often."},
    KeySpec{
        "lend_shares", KeyScope::Gateway, KeyType::Flag, "", "`true`, `false`", "false", false,
        "True if gateways ask each other for unused shares of the request limits of endpoints."},
    KeySpec{"kept_turn_memory", KeyScope::Gateway, KeyType::Count, "MiB", "1 to 65536", "24", false,
            "Memory for the content of kept turns. Turns that were not used for longest are read "
            "from the object API when a turn continues them.",
            1, 65'536},
    KeySpec{"endpoint", KeyScope::Agent, KeyType::Name, "",
            "1 to 63 letters, digits, `-`, `_` and `.`", "", true,
            "Name of the endpoint, as in the manifest."},
    KeySpec{"endpoint_kind", KeyScope::Agent, KeyType::Choice, "", "`engine`, `service`", "", true,
            "Kind of the endpoint."},
    KeySpec{"endpoint_address", KeyScope::Agent, KeyType::Address, "", "", "", true,
            "Address that the endpoint listens on."},
    KeySpec{"capacity", KeyScope::Agent, KeyType::Count, "calls", "1 to 100000", "", true,
            "Maximum number of concurrent calls of the endpoint; the agent queues further calls.",
            1, 100'000},
    KeySpec{"honours_fencing", KeyScope::Agent, KeyType::Flag, "", "`true`, `false`", "false",
            false, "True if the endpoint rejects an order with an outdated fencing number."},
    KeySpec{"log.level", KeyScope::All, KeyType::Choice, "",
            "`debug`, `info`, `warning`, `error`, `off`", "\"info\"", false,
            "Lines below this level are not written. Can be changed in a running process."},
    KeySpec{"log.format", KeyScope::All, KeyType::Choice, "", "`text`, `json`", "\"text\"", false,
            "Sentences with key=value fields, or one JSON object per line."},
    KeySpec{"log.file", KeyScope::All, KeyType::Path, "", "", "", false,
            "Log file; 10 MiB, rotated 5 times. Without it, the log goes to standard output; "
            "lines are dropped and counted while the output is blocked."},
};

} // namespace

std::span<const KeySpec> keyTable()
{
    return kTable;
}

const KeySpec *findKey(std::string_view key)
{
    const auto *const found = std::find_if(kTable.begin(), kTable.end(),
                                           [key](const KeySpec &row) { return row.key == key; });
    return found == kTable.end() ? nullptr : found;
}

KeyScope scopeOf(ProcessKind kind)
{
    switch (kind) {
    case ProcessKind::Entry:
        return KeyScope::Entry;
    case ProcessKind::Agent:
        return KeyScope::Agent;
    case ProcessKind::Gateway:
        return KeyScope::Gateway;
    case ProcessKind::Steward:
        break;
    }
    return KeyScope::Steward;
}

bool acceptsKey(ProcessKind kind, const KeySpec &spec)
{
    return (static_cast<unsigned>(spec.scope) & static_cast<unsigned>(scopeOf(kind))) != 0;
}

} // namespace basilhall::settings
