#include "basilhall/base/monotonic_clock.h"
#include "basilhall/command/internal/address_option.h"
#include "basilhall/command/internal/argument_parser.h"
#include "basilhall/command/internal/process_status.h"
#include "basilhall/command/subcommand.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <ostream>
#include <thread>

namespace basilhall::command
{

namespace
{

namespace json = boost::json;
using internal::ProcessStatus;

constexpr Duration kWatchInterval = std::chrono::milliseconds(500);
constexpr std::uint64_t kDefaultTimeoutSeconds = 60;
constexpr int kRoleWidth = 8;
constexpr int kNameWidth = 24;
constexpr int kGenerationWidth = 12;

class StatusOptions
{
public:
    explicit StatusOptions(TCLAP::CmdLine &line)
        : m_entries("", "entry",
                    "Operator address of a process; may be given several times. An entry process "
                    "also tells about the agents it hears from.",
                    true, "IP:PORT", line)
        , m_watch("", "watch", "Goes on and prints each row that changes.", line)
        , m_waitFor("", "wait-for", "Goes on until every entry process has generation N in force.",
                    false, 0, "N", line)
        , m_timeout("", "timeout", "Longest time for --watch and --wait-for.", false,
                    kDefaultTimeoutSeconds, "SECONDS", line)
        , m_output(line)
    {
    }

    const std::vector<std::string> &entries() { return m_entries.getValue(); }
    bool goesOn() const { return m_watch.isSet() || m_waitFor.isSet(); }
    bool isWaiting() const { return m_waitFor.isSet(); }
    std::uint64_t waitFor() { return m_waitFor.getValue(); }
    Duration timeout() { return std::chrono::seconds(m_timeout.getValue()); }
    bool isJson() { return m_output.isJson(); }

private:
    TCLAP::MultiArg<std::string> m_entries;
    TCLAP::SwitchArg m_watch;
    TCLAP::ValueArg<std::uint64_t> m_waitFor;
    TCLAP::ValueArg<std::uint32_t> m_timeout;
    internal::OutputOption m_output;
};

json::object toJson(const ProcessStatus &row)
{
    return {{"role", row.role},
            {"name", row.name},
            {"generation", row.generation},
            {"reachable", row.isReachable},
            {"state", row.state}};
}

void printHead(std::ostream &out)
{
    out << std::left << std::setw(kRoleWidth) << "ROLE" << std::setw(kNameWidth) << "PROCESS"
        << std::setw(kGenerationWidth) << "GENERATION"
        << "STATE\n";
}

void printRow(const ProcessStatus &row, std::ostream &out)
{
    const std::string generation =
        row.generation == 0 ? std::string("-") : std::to_string(row.generation);
    out << std::left << std::setw(kRoleWidth) << row.role << std::setw(kNameWidth) << row.name
        << std::setw(kGenerationWidth) << generation << row.state << '\n';
}

void print(const std::vector<ProcessStatus> &rows, bool isJson, std::ostream &out)
{
    if (!isJson) {
        for (const ProcessStatus &row : rows) {
            printRow(row, out);
        }
        return;
    }
    json::array documents;
    for (const ProcessStatus &row : rows) {
        documents.push_back(toJson(row));
    }
    out << json::serialize(documents) << '\n';
}

std::vector<ProcessStatus> changedRows(const std::vector<ProcessStatus> &rows,
                                       const std::vector<ProcessStatus> &before)
{
    std::vector<ProcessStatus> changed;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(changed),
                 [&before](const ProcessStatus &row) {
                     return std::find(before.begin(), before.end(), row) == before.end();
                 });
    return changed;
}

bool haveAll(const std::vector<ProcessStatus> &rows, std::uint64_t generation)
{
    return std::all_of(rows.begin(), rows.end(), [generation](const ProcessStatus &row) {
        // Agents hold no manifest: what it says reaches them with each call.
        const bool isInForce = row.role == "agent" || row.generation >= generation;
        return row.isReachable && isInForce;
    });
}

bool isAnyUnreachable(const std::vector<ProcessStatus> &rows)
{
    return std::any_of(rows.begin(), rows.end(),
                       [](const ProcessStatus &row) { return !row.isReachable; });
}

ExitCode watch(const std::vector<Address> &entries, StatusOptions &options, std::ostream &out)
{
    const MonotonicClock clock;
    const Instant deadline = clock.now() + options.timeout();
    std::vector<ProcessStatus> shown;
    while (true) {
        std::vector<ProcessStatus> rows = internal::collectStatus(entries);
        const std::vector<ProcessStatus> changed = changedRows(rows, shown);
        if (!changed.empty()) {
            print(changed, options.isJson(), out);
            out.flush();
        }
        shown = std::move(rows);
        if (options.isWaiting() && haveAll(shown, options.waitFor())) {
            return ExitCode::Ok;
        }
        if (clock.now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(kWatchInterval);
    }
    if (isAnyUnreachable(shown)) {
        return ExitCode::Unreachable;
    }
    return options.isWaiting() ? ExitCode::Wrong : ExitCode::Ok;
}

} // namespace

ExitCode runStatus(const Arguments &arguments, const Streams &streams)
{
    internal::ArgumentParser parser(
        {"status",
         "Shows what each process has in force.",
         "",
         {"basilhall status --entry 127.0.0.1:8082 --entry 127.0.0.2:8082",
          "basilhall status --entry 127.0.0.1:8082 --watch --timeout 600",
          "basilhall status --entry 127.0.0.1:8082 --wait-for 8"},
         "Exit codes: 0 shown, 1 a process has no such generation in time, 2 wrong usage, 3 a\n"
         "process does not answer."});
    StatusOptions options(parser.line());
    if (const auto code = parser.parse(arguments, streams)) {
        return *code;
    }
    const auto entries = internal::parseAddresses(options.entries(), streams);
    if (!entries) {
        return ExitCode::Usage;
    }
    if (!options.isJson()) {
        printHead(streams.out);
    }
    if (options.goesOn()) {
        return watch(*entries, options, streams.out);
    }
    const std::vector<ProcessStatus> rows = internal::collectStatus(*entries);
    print(rows, options.isJson(), streams.out);
    return isAnyUnreachable(rows) ? ExitCode::Unreachable : ExitCode::Ok;
}

} // namespace basilhall::command
