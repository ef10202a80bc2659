// Runs one program as a caller would, and checks every answer and the history.
#pragma once

#include "standin/caller/caller_options.h"
#include "standin/caller/program_result.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace standin
{

// A chain of model calls with tool pauses between them. Each call carries its turn and its own
// name, so that it can be sent again after a lost answer without running twice.
class ProgramRun
{
public:
    // `subAgents` is the number of programs started below this one after its first turn.
    ProgramRun(const boost::asio::any_io_executor &executor, const CallerOptions &options,
               std::string program, std::string parent, std::size_t turns, std::size_t subAgents);
    ~ProgramRun();

    boost::asio::awaitable<ProgramResult> run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace standin
