// Options that hold addresses. Included by the sources of this folder alone.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/command/exit_code.h"
#include "basilhall/command/streams.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace basilhall::command::internal
{

// Returns the addresses; on a fault prints it and returns nothing. The command then ends with
// ExitCode::Usage.
inline std::optional<std::vector<Address>> parseAddresses(const std::vector<std::string> &texts,
                                                          const Streams &streams)
{
    std::vector<Address> addresses;
    for (const std::string &text : texts) {
        const Result<Address> address = parseAddress(text);
        if (!address) {
            streams.err << "basilhall: " << address.error().message() << '\n';
            return std::nullopt;
        }
        addresses.push_back(address.value());
    }
    return addresses;
}

// Returns the exit code for an error of a command.
inline ExitCode exitCodeOf(const Error &error)
{
    switch (error.kind()) {
    case ErrorKind::StoreUnavailable:
    case ErrorKind::Unavailable:
    case ErrorKind::ConnectionLost:
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::OutcomeUnknown:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Wrong;
    }
}

} // namespace basilhall::command::internal
