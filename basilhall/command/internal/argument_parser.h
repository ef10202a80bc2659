// TCLAP with our help and exit codes. Included by the sources of this folder alone.
//
//     ArgumentParser parser({"check", "Checks files.", "FILE...", {"basilhall check a.toml"}});
//     TCLAP::SwitchArg strict("", "strict", "Takes no excuses.", parser.line());
//     if (const auto code = parser.parse(arguments, streams)) {
//         return *code;
//     }
#pragma once

#include "basilhall/command/exit_code.h"
#include "basilhall/command/streams.h"
#include "basilhall/command/subcommand.h"

#include <memory>
#include <optional>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace basilhall::command::internal
{

struct CommandHelp {
    std::string name;
    std::string summary;
    // What follows the options.
    std::string operands;
    std::vector<std::string> examples;
    // Sentences after the options.
    std::string notes;
};

// Not thread-safe. Arguments that are added to line() must not outlive it.
class ArgumentParser
{
public:
    explicit ArgumentParser(CommandHelp help);
    ~ArgumentParser();
    ArgumentParser(const ArgumentParser &) = delete;
    ArgumentParser &operator=(const ArgumentParser &) = delete;

    TCLAP::CmdLine &line() { return m_line; }

    // Returns nothing if the command may go on; else prints help or the fault and returns the code.
    std::optional<ExitCode> parse(const Arguments &arguments, const Streams &streams);

private:
    class Output;

    CommandHelp m_help;
    std::unique_ptr<Output> m_output;
    TCLAP::CmdLine m_line;
};

// The option `--output text|json` of every command that reports.
class OutputOption
{
public:
    explicit OutputOption(TCLAP::CmdLine &line);

    bool isJson() { return m_argument.getValue() == "json"; }

private:
    std::vector<std::string> m_formats{"text", "json"};
    TCLAP::ValuesConstraint<std::string> m_constraint{m_formats};
    TCLAP::ValueArg<std::string> m_argument;
};

} // namespace basilhall::command::internal
