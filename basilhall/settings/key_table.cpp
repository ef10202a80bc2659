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
            "", true, "Name of the host, as the manifest and the host list have it."},
    KeySpec{"failure_domain", KeyScope::All, KeyType::Name, "",
            "1 to 63 letters, digits, `-`, `_` and `.`", "", true, "Failure domain of the host."},
    KeySpec{"peer_listen", KeyScope::Peers, KeyType::Address, "", "", "", true,
            "Where other processes of basilhall connect."},
    KeySpec{"operator_listen", KeyScope::All, KeyType::Address, "", "", "", true,
            "Where operators and the metrics collector connect."},
    KeySpec{"listen", KeyScope::Fronts, KeyType::Address, "", "", "", true,
            "Where callers connect."},
    KeySpec{"object_api", KeyScope::StoreUsers, KeyType::Address, "", "", "", true,
            "Address of the platform's object API."},
    KeySpec{"object_namespace", KeyScope::Entry, KeyType::Name, "",
            "1 to 63 letters, digits, `-`, `_` and `.`", "\"basilhall\"", false,
            "Namespace of the object API that holds the objects of this deployment."},
    KeySpec{"host_list", KeyScope::Entry, KeyType::Address, "", "", "", false,
            "Address of the platform's host list. Without it, hosts are judged by their peers "
            "alone."},
    KeySpec{"data_folder", KeyScope::Entry, KeyType::Path, "", "", "", false,
            "Folder on a small disk for bulk data. Without it, nothing is kept on the host."},
    KeySpec{"traffic_threads", KeyScope::Entry, KeyType::Count, "threads", "1 to 64", "2", false,
            "Threads for traffic, besides the one for control.", 1, 64},
    KeySpec{"flush_interval", KeyScope::Entry, KeyType::Duration, "duration", "1 ms to 10 s",
            "\"20 ms\"", false,
            "Least time between two writes of the journal. Longer means fewer writes to the object "
            "API and later ends of turns.",
            nanoseconds(1ms), nanoseconds(10s)},
    KeySpec{"ready_listen", KeyScope::Gateway, KeyType::Address, "", "", "", true,
            "Where the platform asks whether the host takes callers."},
    KeySpec{"processor_share", KeyScope::Gateway, KeyType::Number, "cores", "0.001 to 1024", "1",
            false,
            "Part of a core that the process may use. The gateway with the most writes the journal "
            "for the others, if it has enough."},
    KeySpec{
        "shutdown_grace", KeyScope::Gateway, KeyType::Duration, "duration", "1 s to 10 min",
        "\"8 s\"", false,
        "Time from SIGTERM until the platform kills the process. Requests that still run shortly "
        "before its end are cut.",
        nanoseconds(1s), nanoseconds(10min)},
    KeySpec{"endpoint", KeyScope::Agent, KeyType::Name, "",
            "1 to 63 letters, digits, `-`, `_` and `.`", "", true,
            "Name of the endpoint, as the manifest has it."},
    KeySpec{"endpoint_kind", KeyScope::Agent, KeyType::Choice, "", "`engine`, `service`", "", true,
            "What stands behind the endpoint."},
    KeySpec{"endpoint_address", KeyScope::Agent, KeyType::Address, "", "", "", true,
            "Where the endpoint itself listens."},
    KeySpec{"capacity", KeyScope::Agent, KeyType::Count, "calls", "1 to 100000", "", true,
            "Calls that the endpoint runs at once; further ones are queued by the agent.", 1,
            100'000},
    KeySpec{"honours_fencing", KeyScope::Agent, KeyType::Flag, "", "`true`, `false`", "false",
            false, "True if the endpoint refuses an order with an old fencing number."},
    KeySpec{"log.level", KeyScope::All, KeyType::Choice, "",
            "`debug`, `info`, `warning`, `error`, `off`", "\"info\"", false,
            "Lines below this level are not written. Can be changed in a running process."},
    KeySpec{"log.format", KeyScope::All, KeyType::Choice, "", "`text`, `json`", "\"text\"", false,
            "Sentences with key=value fields, or one JSON object a line."},
    KeySpec{"log.file", KeyScope::All, KeyType::Path, "", "", "", false,
            "File of the log; 10 MiB, rolled 5 times. Without it, the log goes to standard output; "
            "lines are dropped and counted while it does not drain."},
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

bool knows(ProcessKind kind, const KeySpec &spec)
{
    return (static_cast<unsigned>(spec.scope) & static_cast<unsigned>(scopeOf(kind))) != 0;
}

} // namespace basilhall::settings
