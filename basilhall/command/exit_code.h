// Exit codes of the binary; scripts rely on them.
#pragma once

namespace basilhall::command
{

enum class ExitCode {
    Ok = 0,
    // What was asked about is wrong: a fault, a conflict, a program that does not exist.
    Wrong = 1,
    // The command line is wrong.
    Usage = 2,
    // A process or the object API does not answer.
    Unreachable = 3,
};

} // namespace basilhall::command
