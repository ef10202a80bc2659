#include "basilhall/command/subcommand.h"

#include <iostream>

int main(int argc, char **argv)
{
    using namespace basilhall::command;
    const Arguments arguments(argv + 1, argv + argc);
    return static_cast<int>(runCommand(arguments, Streams{std::cout, std::cerr}));
}
