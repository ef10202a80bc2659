// A caller for tests: `basilhall-caller --entry 127.0.0.1:8080 --key KEY --model feed-mind`.
#include "basilhall/base/address.h"
#include "standin/caller/load_run.h"
#include "standin/caller/program_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <iomanip>
#include <iostream>
#include <tclap/CmdLine.h>

namespace
{

using standin::CallerOptions;
using standin::ProgramResult;

CallerOptions parse(int argc, char **argv)
{
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::size_t>;
    CallerOptions options;
    TCLAP::CmdLine line("Runs programs against entry hosts and checks every answer", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> entries("", "entry", "Entry host; may be repeated", true,
                                         "ip:port", line);
    Text key("", "key", "Key of the team", true, "", "key", line);
    Text model("", "model", "Model to call", true, "", "name", line);
    Text run("", "run", "First part of the programs' names", false, options.run, "name", line);
    Number programs("", "programs", "Number of programs", false, options.programs, "n", line);
    Number turns("", "turns", "Model calls of a program", false, options.turns, "n", line);
    Number pause("", "pause-ms", "Length of a tool pause", false, 50, "ms", line);
    Text tool("", "tool-route", "Route of an idempotent service", false, "", "name", line);
    Text order("", "order-route", "Route of a non-idempotent service", false, "", "name", line);
    Number timeout("", "timeout-ms", "Time of one HTTP call", false, 30'000, "ms", line);
    Number retry("", "retry-ms", "How long a call is tried again", false, 30'000, "ms", line);
    Number calls("", "load-calls", "Load mode: number of calls", false, 0, "n", line);
    Number connections("", "connections", "Load mode: connections", false, options.connections, "n",
                       line);
    Number perProgram("", "calls-per-program", "Load mode: calls of one program", false,
                      options.callsPerProgram, "n", line);
    TCLAP::SwitchArg keep("", "keep-programs", "Do not end the programs", line);
    line.parse(argc, argv);
    for (const std::string &text : entries.getValue()) {
        const basilhall::Address address = basilhall::parseAddress(text).value();
        options.entries.push_back({address.ip, address.port});
    }
    options.key = key.getValue();
    options.model = model.getValue();
    options.run = run.getValue();
    options.programs = programs.getValue();
    options.turns = turns.getValue();
    options.pause = std::chrono::milliseconds(pause.getValue());
    options.toolRoute = tool.getValue();
    options.orderRoute = order.getValue();
    options.timeout = std::chrono::milliseconds(timeout.getValue());
    options.retryFor = std::chrono::milliseconds(retry.getValue());
    options.calls = calls.getValue();
    options.connections = connections.getValue();
    options.callsPerProgram = std::max<std::size_t>(perProgram.getValue(), 1);
    options.keepPrograms = keep.getValue();
    return options;
}

void print(const ProgramResult &result)
{
    std::cout << std::left << std::setw(24) << result.program << std::right << std::setw(6)
              << result.turns << std::setw(10) << result.streamed << std::setw(10)
              << result.serviceCalls << std::setw(9) << result.retries << std::setw(5) << result.cut
              << std::setw(9) << result.unknown << std::setw(9) << result.spentTokens
              << std::setw(10) << result.time.count() << "  "
              << (result.faults.empty() ? "whole" : "FAULT") << '\n';
    for (const std::string &fault : result.faults) {
        std::cout << "    " << fault << '\n';
    }
}

int runPrograms(const CallerOptions &options)
{
    boost::asio::io_context context(1);
    std::vector<ProgramResult> results(options.programs);
    for (std::size_t i = 0; i < options.programs; ++i) {
        const auto one = [&, i]() -> boost::asio::awaitable<void> {
            // The first program has a sub-agent.
            standin::ProgramRun run(context.get_executor(), options,
                                    options.run + "-" + std::to_string(i), "", options.turns,
                                    i == 0 ? 1 : 0);
            results[i] = co_await run.run();
        };
        boost::asio::co_spawn(context, one, [](const std::exception_ptr &error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
    }
    context.run();
    std::cout
        << "program                  turns  streamed  services  retries  cut  unknown   tokens   "
           "time ms  answers and history\n";
    bool whole = true;
    for (const ProgramResult &result : results) {
        print(result);
        whole = whole && result.faults.empty();
    }
    return whole ? 0 : 1;
}

int runLoad(const CallerOptions &options)
{
    boost::asio::io_context context(1);
    standin::LoadRun load(context.get_executor(), options);
    load.start();
    context.run();
    std::cout << load.report() << '\n';
    return load.failures() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const CallerOptions options = parse(argc, argv);
        return options.calls > 0 ? runLoad(options) : runPrograms(options);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
