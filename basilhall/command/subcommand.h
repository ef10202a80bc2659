// The subcommands of the binary.
#pragma once

#include "basilhall/command/exit_code.h"
#include "basilhall/command/streams.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::command
{

// Arguments after the name of the subcommand.
using Arguments = std::vector<std::string>;

struct Subcommand {
    std::string_view name;
    // One line for the list of subcommands.
    std::string_view summary;
    ExitCode (*run)(const Arguments &arguments, const Streams &streams);
};

// Returns all subcommands in the order of the help.
std::span<const Subcommand> subcommands();

// Runs `arguments`, of which the first is the name of a subcommand, and returns the exit code.
ExitCode runCommand(const Arguments &arguments, const Streams &streams);

ExitCode runEntryCommand(const Arguments &arguments, const Streams &streams);
ExitCode runAgentCommand(const Arguments &arguments, const Streams &streams);
ExitCode runGatewayCommand(const Arguments &arguments, const Streams &streams);
ExitCode runStewardCommand(const Arguments &arguments, const Streams &streams);
ExitCode runCheck(const Arguments &arguments, const Streams &streams);
ExitCode runPublish(const Arguments &arguments, const Streams &streams);
ExitCode runStatus(const Arguments &arguments, const Streams &streams);
ExitCode runAudit(const Arguments &arguments, const Streams &streams);
ExitCode runExplain(const Arguments &arguments, const Streams &streams);
ExitCode runDocs(const Arguments &arguments, const Streams &streams);

} // namespace basilhall::command
