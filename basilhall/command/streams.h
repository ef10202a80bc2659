// Where a command writes to.
#pragma once

#include <iosfwd>

namespace basilhall::command
{

// Refers to streams that outlive the command.
struct Streams {
    // What was asked for.
    std::ostream &out;
    // Errors and progress.
    std::ostream &err;
};

} // namespace basilhall::command
