// The page of error kinds, made from the table in basilhall/base/error_kind.cpp.
#pragma once

#include <string>

namespace basilhall::command
{

// Returns docs/ERRORS.md.
std::string errorPage();

} // namespace basilhall::command
