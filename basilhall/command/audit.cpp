#include "basilhall/audit/trail_reader.h"
#include "basilhall/command/internal/address_option.h"
#include "basilhall/command/internal/argument_parser.h"
#include "basilhall/command/internal/operator_client.h"
#include "basilhall/command/internal/store_session.h"
#include "basilhall/command/subcommand.h"
#include "basilhall/manifest/loader.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace basilhall::command
{

namespace
{

namespace json = boost::json;
using audit::Record;

constexpr Duration kPatience = std::chrono::seconds(20);

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += (text.empty() ? "" : "; ") + line;
    }
    return text;
}

Record toRecord(const manifest::Publication &publication)
{
    Record record;
    record.wallMillis = publication.wallMillis;
    record.host = HostName(publication.publisher);
    record.number = publication.generation;
    record.kind = audit::EventKind::Published;
    record.subject = "generation " + std::to_string(publication.generation);
    record.detail =
        std::to_string(publication.changeCount) + " changes: " + joined(publication.changes);
    return record;
}

// Adds what the object API holds: publications from the root, all else from the trail.
Result<void> addLasting(const Address &api, const std::string &nameSpace,
                        std::vector<Record> &records, const Streams &streams)
{
    internal::StoreSession session(api, nameSpace);
    manifest::Loader loader(session.ids(), std::nullopt);
    audit::TrailReader reader(session.ids());
    if (!session.run(loader, kPatience) || !session.run(reader, kPatience)) {
        return Error(ErrorKind::StoreUnavailable, "the object API does not answer");
    }
    if (!loader.result()) {
        streams.err << "basilhall audit: " << loader.result().error().message() << '\n';
    } else if (loader.result().value()) {
        for (const manifest::Publication &publication : loader.result().value()->root().history) {
            records.push_back(toRecord(publication));
        }
    }
    for (const Error &fault : reader.faults()) {
        streams.err << "basilhall audit: " << fault.message() << '\n';
    }
    const std::vector<Record> trail = reader.records();
    records.insert(records.end(), trail.begin(), trail.end());
    return success();
}

// Adds what a process remembers.
Result<void> addRecent(const Address &process, std::vector<Record> &records)
{
    BOOST_OUTCOME_TRY(const json::value document, internal::askForJson(process, "/audit"));
    if (!document.is_array()) {
        return Error(ErrorKind::EndpointFailed,
                     "process at " + toString(process) + " does not answer with records");
    }
    for (const json::value &item : document.get_array()) {
        BOOST_OUTCOME_TRY(Record record, audit::decodeRecord(json::serialize(item)));
        records.push_back(std::move(record));
    }
    return success();
}

void print(const std::vector<Record> &records, bool isJson, std::ostream &out)
{
    for (const Record &record : records) {
        out << (isJson ? audit::encodeRecord(record) : describe(record)) << '\n';
    }
}

class AuditOptions
{
public:
    explicit AuditOptions(TCLAP::CmdLine &line)
        : m_api("", "object-api", "Address of the object API, for the lasting trail.", false, "",
                "IP:PORT", line)
        , m_nameSpace("", "namespace", "Namespace of the deployment.", false, "basilhall", "NAME",
                      line)
        , m_entries("", "entry",
                    "Operator address of a process, for its last 512 records; these can be read "
                    "during an outage of the object API. May be given several times.",
                    false, "IP:PORT", line)
        , m_kind("", "kind", "Shows records of this kind alone, such as takeover.", false, "",
                 "KIND", line)
        , m_output(line)
    {
    }

    const std::string &api() { return m_api.getValue(); }
    const std::string &nameSpace() { return m_nameSpace.getValue(); }
    const std::vector<std::string> &entries() { return m_entries.getValue(); }
    const std::string &kind() { return m_kind.getValue(); }
    bool isJson() { return m_output.isJson(); }

    bool isConsistent(const Streams &streams)
    {
        if (api().empty() && entries().empty()) {
            streams.err << "basilhall audit: give --object-api, --entry or both\n";
            return false;
        }
        if (!kind().empty() && !audit::eventKindFromName(kind())) {
            streams.err << "basilhall audit: kind \"" << kind() << "\" does not exist\n";
            return false;
        }
        return true;
    }

private:
    TCLAP::ValueArg<std::string> m_api;
    TCLAP::ValueArg<std::string> m_nameSpace;
    TCLAP::MultiArg<std::string> m_entries;
    TCLAP::ValueArg<std::string> m_kind;
    internal::OutputOption m_output;
};

// Reads all sources; prints the faults of those that fail and returns the last one's exit code.
ExitCode collect(AuditOptions &options, const std::vector<Address> &entries,
                 const std::optional<Address> &api, std::vector<Record> &records,
                 const Streams &streams)
{
    ExitCode code = ExitCode::Ok;
    const auto note = [&](const Result<void> &done) {
        if (!done) {
            streams.err << "basilhall audit: " << done.error().message() << '\n';
            code = internal::exitCodeOf(done.error());
        }
    };
    if (api) {
        note(addLasting(*api, options.nameSpace(), records, streams));
    }
    for (const Address &entry : entries) {
        note(addRecent(entry, records));
    }
    return code;
}

} // namespace

ExitCode runAudit(const Arguments &arguments, const Streams &streams)
{
    internal::ArgumentParser parser(
        {"audit",
         "Lists changes: publications, takeovers, withdrawals, drains.",
         "",
         {"basilhall audit --object-api 127.0.0.1:6443",
          "basilhall audit --entry 127.0.0.1:8082 --kind takeover"},
         "Exit codes: 0 shown, 1 damaged, 2 wrong usage, 3 a source does not answer."});
    AuditOptions options(parser.line());
    if (const auto code = parser.parse(arguments, streams)) {
        return *code;
    }
    const auto entries = internal::parseAddresses(options.entries(), streams);
    const auto apis = internal::parseAddresses(
        options.api().empty() ? std::vector<std::string>{} : std::vector{options.api()}, streams);
    if (!entries || !apis || !options.isConsistent(streams)) {
        return ExitCode::Usage;
    }
    std::vector<Record> records;
    const std::optional<Address> api =
        apis->empty() ? std::nullopt : std::optional<Address>(apis->front());
    const ExitCode code = collect(options, *entries, api, records, streams);
    std::sort(records.begin(), records.end());
    records.erase(std::unique(records.begin(), records.end()), records.end());
    if (!options.kind().empty()) {
        const audit::EventKind kind = *audit::eventKindFromName(options.kind());
        records.erase(std::remove_if(records.begin(), records.end(),
                                     [kind](const Record &record) { return record.kind != kind; }),
                      records.end());
    }
    print(records, options.isJson(), streams.out);
    return code;
}

} // namespace basilhall::command
