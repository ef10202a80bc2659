#include "basilhall/audit/recorder.h"
#include "basilhall/base/monotonic_clock.h"
#include "basilhall/base/random_name.h"
#include "basilhall/command/internal/address_option.h"
#include "basilhall/command/internal/argument_parser.h"
#include "basilhall/command/internal/files.h"
#include "basilhall/command/internal/store_session.h"
#include "basilhall/command/subcommand.h"
#include "basilhall/manifest/parser.h"
#include "basilhall/manifest/publisher.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <ostream>

namespace basilhall::command
{

namespace
{

namespace json = boost::json;

constexpr std::uint32_t kDefaultPatienceSeconds = 30;
constexpr std::string_view kNotes =
    "Exit codes: 0 published or unchanged, 1 refused (a fault, or another publication came in\n"
    "between), 2 wrong usage, 3 the object API does not answer.";

// Names the run, so that a lost answer is told from a race.
std::string makePublicationId()
{
    auto random = makeRandomSource();
    return randomHexName(random);
}

std::string defaultPublisher()
{
    const char *const user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

void printText(const manifest::Published &published, std::ostream &out)
{
    if (published.isUnchanged) {
        out << "generation " << published.generation
            << " holds the same already; nothing changed\n";
        return;
    }
    out << "generation " << published.generation << " published: " << published.changes.size()
        << (published.changes.size() == 1 ? " change, " : " changes, ") << published.newChunks
        << " of " << published.chunks << " chunks written\n";
    for (const std::string &change : published.changes) {
        out << "  " << change << '\n';
    }
}

void printJson(const manifest::Published &published, std::ostream &out)
{
    const json::array changes(published.changes.begin(), published.changes.end());
    out << json::serialize(json::object{{"generation", published.generation},
                                        {"unchanged", published.isUnchanged},
                                        {"changes", changes}})
        << '\n';
}

void printError(const Error &error, bool isJson, const Streams &streams)
{
    if (isJson) {
        const json::object body{{"kind", errorTraits(error.kind()).name},
                                {"message", error.message()},
                                {"not_run", error.notRun()}};
        streams.out << json::serialize(json::object{{"error", body}}) << '\n';
    } else {
        streams.err << "basilhall publish: " << error.message() << '\n';
    }
}

// The options of the command line.
class PublishOptions
{
public:
    explicit PublishOptions(TCLAP::CmdLine &line)
        : m_api("", "object-api", "Address of the object API.", true, "", "IP:PORT", line)
        , m_nameSpace("", "namespace", "Namespace of the deployment.", false, "basilhall", "NAME",
                      line)
        , m_from("", "from-generation",
                 "Generation that FILE was made from; without it, the one published now.", false, 0,
                 "N", line)
        , m_publisher("", "publisher", "Who publishes, for the audit trail; $USER if not given.",
                      false, defaultPublisher(), "NAME", line)
        , m_replaceDamaged(
              "", "replace-damaged",
              "Replaces a damaged manifest; --from-generation names the last one in force.", line)
        , m_patience("", "patience", "Time to wait for an object API that does not answer.", false,
                     kDefaultPatienceSeconds, "SECONDS", line)
        , m_output(line)
        , m_file("file", "Manifest in TOML.", true, "", "FILE", line)
    {
    }

    const std::string &api() { return m_api.getValue(); }
    const std::string &nameSpace() { return m_nameSpace.getValue(); }
    const std::string &file() { return m_file.getValue(); }
    Duration patience() { return std::chrono::seconds(m_patience.getValue()); }
    bool isJson() { return m_output.isJson(); }
    bool isConsistent() const { return !m_replaceDamaged.isSet() || m_from.isSet(); }

    manifest::PublishRequest makeRequest(manifest::Content content)
    {
        manifest::PublishRequest request;
        request.content = std::move(content);
        request.publisher = m_publisher.getValue();
        request.publicationId = makePublicationId();
        request.wallMillis = MonotonicClock().wallMillis();
        request.replaceDamaged = m_replaceDamaged.isSet();
        request.patience = patience();
        if (m_from.isSet()) {
            request.fromGeneration = m_from.getValue();
        }
        return request;
    }

private:
    TCLAP::ValueArg<std::string> m_api;
    TCLAP::ValueArg<std::string> m_nameSpace;
    TCLAP::ValueArg<std::uint64_t> m_from;
    TCLAP::ValueArg<std::string> m_publisher;
    TCLAP::SwitchArg m_replaceDamaged;
    TCLAP::ValueArg<std::uint32_t> m_patience;
    internal::OutputOption m_output;
    TCLAP::UnlabeledValueArg<std::string> m_file;
};

// Reads the manifest; prints its faults and returns nothing if it has any.
std::optional<manifest::Content> readContent(PublishOptions &options, const Streams &streams)
{
    const Result<std::string> text = internal::readFile(options.file());
    if (!text) {
        printError(text.error(), options.isJson(), streams);
        return std::nullopt;
    }
    manifest::ParsedContent parsed = manifest::parse(options.file(), text.value());
    for (const config::Fault &fault : parsed.faults) {
        streams.err << toString(fault) << '\n';
    }
    return std::move(parsed.content);
}

// A recorder as something that StoreSession drives to its end.
class Flush
{
public:
    explicit Flush(audit::Recorder &recorder)
        : m_recorder(recorder)
    {
    }

    std::vector<store::Operation> advance(Instant now) { return m_recorder.advance(now); }
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
    {
        m_recorder.onOutcome(id, outcome, now);
    }
    std::optional<Instant> nextWake() const { return m_recorder.nextWake(); }
    bool isFinished() const { return m_recorder.pending() == 0; }

private:
    audit::Recorder &m_recorder;
};

bool isRefusal(const Error &error)
{
    return error.kind() == ErrorKind::Conflict || error.kind() == ErrorKind::InvalidRequest;
}

// Writes the refusal to the audit trail; the trail has no record if the object API does not answer.
void recordRefusal(const manifest::PublishRequest &request, const Error &error,
                   internal::StoreSession &session)
{
    const Instant now = MonotonicClock().now();
    audit::Recorder recorder(HostName(request.publisher), Incarnation(request.publicationId),
                             session.ids(), {});
    recorder.record(audit::EventKind::Refusal, "publication", error.message(), request.wallMillis,
                    now);
    recorder.flush(now);
    Flush flush(recorder);
    session.run(flush, internal::StoreSession::kRequestTimeout);
}

Result<manifest::Published> publish(const Address &api, PublishOptions &options,
                                    manifest::Content content)
{
    internal::StoreSession session(api, options.nameSpace());
    const manifest::PublishRequest request = options.makeRequest(std::move(content));
    manifest::Publisher publisher(request, session.ids());
    const Duration patience = options.patience() + internal::StoreSession::kRequestTimeout;
    if (!session.run(publisher, patience)) {
        return Error(ErrorKind::StoreUnavailable, "the object API does not answer");
    }
    const Result<manifest::Published> &result = publisher.result();
    if (!result && isRefusal(result.error())) {
        recordRefusal(request, result.error(), session);
    }
    return result;
}

} // namespace

ExitCode runPublish(const Arguments &arguments, const Streams &streams)
{
    internal::ArgumentParser parser(
        {"publish",
         "Publishes a manifest.",
         "FILE",
         {"basilhall publish --object-api 127.0.0.1:6443 manifest.toml",
          "basilhall publish --object-api 127.0.0.1:6443 --from-generation 7 manifest.toml"},
         std::string(kNotes)});
    PublishOptions options(parser.line());
    if (const auto code = parser.parse(arguments, streams)) {
        return *code;
    }
    const auto addresses = internal::parseAddresses({options.api()}, streams);
    if (!addresses) {
        return ExitCode::Usage;
    }
    if (!options.isConsistent()) {
        streams.err << "basilhall publish: --replace-damaged needs --from-generation\n";
        return ExitCode::Usage;
    }
    std::optional<manifest::Content> content = readContent(options, streams);
    if (!content) {
        return ExitCode::Wrong;
    }
    const Result<manifest::Published> result =
        publish(addresses->front(), options, std::move(*content));
    if (!result) {
        printError(result.error(), options.isJson(), streams);
        return internal::exitCodeOf(result.error());
    }
    if (options.isJson()) {
        printJson(result.value(), streams.out);
    } else {
        printText(result.value(), streams.out);
    }
    return ExitCode::Ok;
}

} // namespace basilhall::command
