#include "basilhall/command/subcommand.h"

#include "basilhall/command/version.h"

#include <algorithm>
#include <array>
#include <exception>
#include <iomanip>
#include <ostream>

namespace basilhall::command
{

namespace
{

constexpr std::array kSubcommands{
    Subcommand{"entry", "Runs the process of an entry host.", runEntryCommand},
    Subcommand{"agent", "Runs the process beside an endpoint.", runAgentCommand},
    Subcommand{"gateway", "Carries callers' requests on the users' platform.", runGatewayCommand},
    Subcommand{"steward", "Answers for a host with a disk on the users' platform.",
               runStewardCommand},
    Subcommand{"check", "Checks manifests and settings and lists every fault.", runCheck},
    Subcommand{"publish", "Publishes a manifest.", runPublish},
    Subcommand{"status", "Shows what each process has in force.", runStatus},
    Subcommand{"audit", "Lists changes: publications, takeovers, withdrawals, drains.", runAudit},
    Subcommand{"explain", "Tells where a program is and what it waits for.", runExplain},
    Subcommand{"docs", "Prints the reference pages made from tables.", runDocs},
};

constexpr int kNameWidth = 10;

void printHelp(std::ostream &out)
{
    out << "basilhall - a scheduler for agent programs\n\n"
        << "Usage: basilhall SUBCOMMAND [OPTIONS]\n\nSubcommands:\n";
    for (const Subcommand &subcommand : kSubcommands) {
        out << "  " << std::left << std::setw(kNameWidth) << subcommand.name << subcommand.summary
            << '\n';
    }
    out << "\nExamples:\n"
        << "  basilhall check manifest.toml entry.toml\n"
        << "  basilhall publish --object-api 127.0.0.1:6443 manifest.toml\n"
        << "  basilhall status --entry 127.0.0.1:8082 --watch\n\n"
        << "`basilhall SUBCOMMAND --help` explains one subcommand, `basilhall --version` tells the "
           "version.\n"
        << "Exit codes: 0 all is well, 1 what was asked about is wrong, 2 wrong usage, "
           "3 unreachable.\n";
}

const Subcommand *find(const std::string &name)
{
    const auto *const found =
        std::find_if(kSubcommands.begin(), kSubcommands.end(),
                     [&name](const Subcommand &candidate) { return candidate.name == name; });
    return found == kSubcommands.end() ? nullptr : found;
}

} // namespace

std::span<const Subcommand> subcommands()
{
    return kSubcommands;
}

ExitCode runCommand(const Arguments &arguments, const Streams &streams)
{
    if (arguments.empty()) {
        printHelp(streams.err);
        return ExitCode::Usage;
    }
    const std::string &name = arguments.front();
    if (name == "--help" || name == "-h") {
        printHelp(streams.out);
        return ExitCode::Ok;
    }
    if (name == "--version") {
        streams.out << "basilhall " << kVersion << '\n';
        return ExitCode::Ok;
    }
    const Subcommand *const subcommand = find(name);
    if (subcommand == nullptr) {
        streams.err << "basilhall: subcommand \"" << name << "\" does not exist\n\n";
        printHelp(streams.err);
        return ExitCode::Usage;
    }
    try {
        return subcommand->run({arguments.begin() + 1, arguments.end()}, streams);
    } catch (const std::exception &failure) {
        streams.err << "basilhall " << name << ": " << failure.what() << '\n';
        return ExitCode::Wrong;
    }
}

} // namespace basilhall::command
