#include "basilhall/command/internal/argument_parser.h"
#include "basilhall/command/internal/files.h"
#include "basilhall/command/subcommand.h"
#include "basilhall/settings/parser.h"
#include "platform/run_gateway.h"
#include "platform/run_steward.h"

#ifdef BASILHALL_HAS_ENTRY
#include "basilhall/entry/run_entry.h"
#endif
#ifdef BASILHALL_HAS_AGENT
#include "basilhall/agent/run_agent.h"
#endif

#include <cstdlib>
#include <ostream>

namespace basilhall::command
{

namespace
{

// Reads the settings of `kind` from the file that the arguments name. On failure prints why and
// sets `code`.
template<typename Settings>
std::optional<Settings> readSettings(std::string_view kind, const Arguments &arguments,
                                     const Streams &streams, ExitCode &code)
{
    const std::string name(kind);
    internal::ArgumentParser parser(
        {name,
         "Runs the " + name + " process until SIGTERM or SIGINT.",
         "",
         {"basilhall " + name + " --settings /etc/basilhall/" + name + ".toml"},
         "docs/SETTINGS.md explains each key."});
    TCLAP::ValueArg<std::string> file("", "settings", "Settings of the process, in TOML.", true, "",
                                      "FILE", parser.line());
    if (const auto parsedCode = parser.parse(arguments, streams)) {
        code = *parsedCode;
        return std::nullopt;
    }
    code = ExitCode::Wrong;
    const Result<std::string> text = internal::readFile(file.getValue());
    if (!text) {
        streams.err << "basilhall " << kind << ": " << text.error().message() << '\n';
        return std::nullopt;
    }
    const char *const environment = std::getenv(settings::kSettingsVariable);
    const settings::ParsedSettings parsed =
        settings::parse(file.getValue(), text.value(), environment == nullptr ? "" : environment);
    for (const config::Fault &fault : parsed.faults) {
        streams.err << toString(fault) << '\n';
    }
    const auto *const settings = std::get_if<Settings>(&parsed.settings);
    if (settings == nullptr) {
        if (parsed.faults.empty()) {
            streams.err << file.getValue() << ": process: is not \"" << kind << "\"\n";
        }
        return std::nullopt;
    }
    return *settings;
}

[[maybe_unused]] ExitCode notBuilt(std::string_view kind, const Streams &streams)
{
    streams.err << "basilhall " << kind << ": this build does not contain the process\n";
    return ExitCode::Wrong;
}

} // namespace

ExitCode runEntryCommand(const Arguments &arguments, const Streams &streams)
{
    ExitCode code = ExitCode::Ok;
    const auto settings = readSettings<settings::EntrySettings>("entry", arguments, streams, code);
    if (!settings) {
        return code;
    }
#ifdef BASILHALL_HAS_ENTRY
    return static_cast<ExitCode>(entry::runEntry(*settings));
#else
    return notBuilt("entry", streams);
#endif
}

ExitCode runGatewayCommand(const Arguments &arguments, const Streams &streams)
{
    ExitCode code = ExitCode::Ok;
    const auto settings =
        readSettings<settings::GatewaySettings>("gateway", arguments, streams, code);
    return settings ? static_cast<ExitCode>(platform::runGateway(*settings)) : code;
}

ExitCode runStewardCommand(const Arguments &arguments, const Streams &streams)
{
    ExitCode code = ExitCode::Ok;
    const auto settings =
        readSettings<settings::StewardSettings>("steward", arguments, streams, code);
    return settings ? static_cast<ExitCode>(platform::runSteward(*settings)) : code;
}

ExitCode runAgentCommand(const Arguments &arguments, const Streams &streams)
{
    ExitCode code = ExitCode::Ok;
    const auto settings = readSettings<settings::AgentSettings>("agent", arguments, streams, code);
    if (!settings) {
        return code;
    }
#ifdef BASILHALL_HAS_AGENT
    return static_cast<ExitCode>(agent::runAgent(*settings));
#else
    return notBuilt("agent", streams);
#endif
}

} // namespace basilhall::command
