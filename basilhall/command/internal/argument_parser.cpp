#include "basilhall/command/internal/argument_parser.h"

#include "basilhall/command/version.h"

#include <algorithm>
#include <ostream>

namespace basilhall::command::internal
{

namespace
{

// TCLAP adds these by itself; the general help explains them.
bool isBuiltIn(const TCLAP::Arg &argument)
{
    return argument.getName() == "ignore_rest" || argument.getName() == "version";
}

bool isOption(TCLAP::Arg &argument)
{
    return argument.longID().starts_with("-");
}

// TCLAP takes an unknown option as an operand where operands repeat; this finds the first one.
const std::string *findUnknownOption(const Arguments &arguments, TCLAP::CmdLine &line)
{
    constexpr std::string_view kPrefix = "--";
    for (const std::string &argument : arguments) {
        if (argument == kPrefix) {
            return nullptr;
        }
        if (!argument.starts_with(kPrefix)) {
            continue;
        }
        const std::string name = argument.substr(kPrefix.size());
        const std::list<TCLAP::Arg *> &known = line.getArgList();
        const bool isKnown =
            std::any_of(known.begin(), known.end(),
                        [&name](const TCLAP::Arg *option) { return option->getName() == name; });
        if (!isKnown) {
            return &argument;
        }
    }
    return nullptr;
}

} // namespace

class ArgumentParser::Output : public TCLAP::CmdLineOutput
{
public:
    explicit Output(const CommandHelp &help)
        : m_help(help)
    {
    }

    void setStream(std::ostream &out) { m_out = &out; }

    void usage(TCLAP::CmdLineInterface &line) override
    {
        std::ostream &out = *m_out;
        out << "basilhall " << m_help.name << " - " << m_help.summary << "\n\nUsage: basilhall "
            << m_help.name << " [OPTIONS]" << (m_help.operands.empty() ? "" : " ")
            << m_help.operands << "\n\nOptions:\n";
        // TCLAP keeps the newest argument first.
        const std::list<TCLAP::Arg *> &arguments = line.getArgList();
        for (auto it = arguments.rbegin(); it != arguments.rend(); ++it) {
            if (!isBuiltIn(**it) && isOption(**it)) {
                out << "  " << (*it)->longID() << "\n      " << (*it)->getDescription() << '\n';
            }
        }
        if (!m_help.notes.empty()) {
            out << '\n' << m_help.notes << '\n';
        }
        out << "\nExamples:\n";
        for (const std::string &example : m_help.examples) {
            out << "  " << example << '\n';
        }
    }

    void version(TCLAP::CmdLineInterface &) override { *m_out << "basilhall " << kVersion << '\n'; }

    void failure(TCLAP::CmdLineInterface &, TCLAP::ArgException &) override { }

private:
    const CommandHelp &m_help;
    std::ostream *m_out = nullptr;
};

ArgumentParser::ArgumentParser(CommandHelp help)
    : m_help(std::move(help))
    , m_output(std::make_unique<Output>(m_help))
    , m_line(m_help.summary, ' ', std::string(kVersion))
{
    m_line.setExceptionHandling(false);
    m_line.setOutput(m_output.get());
}

ArgumentParser::~ArgumentParser() = default;

std::optional<ExitCode> ArgumentParser::parse(const Arguments &arguments, const Streams &streams)
{
    m_output->setStream(streams.out);
    if (const std::string *const unknown = findUnknownOption(arguments, m_line)) {
        streams.err << "basilhall " << m_help.name << ": option " << *unknown
                    << " does not exist\nRun `basilhall " << m_help.name << " --help`.\n";
        return ExitCode::Usage;
    }
    Arguments all{"basilhall " + m_help.name};
    all.insert(all.end(), arguments.begin(), arguments.end());
    try {
        m_line.parse(all);
    } catch (const TCLAP::ArgException &failure) {
        streams.err << "basilhall " << m_help.name << ": " << failure.error();
        if (!failure.argId().empty() && failure.argId() != " ") {
            streams.err << " (" << failure.argId() << ')';
        }
        streams.err << "\nRun `basilhall " << m_help.name << " --help`.\n";
        return ExitCode::Usage;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::Usage;
    }
    return std::nullopt;
}

OutputOption::OutputOption(TCLAP::CmdLine &line)
    : m_argument("", "output", "Form of the report.", false, "text", &m_constraint, line)
{
}

} // namespace basilhall::command::internal
