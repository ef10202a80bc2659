// Turns sentence and fields into the text of a line. Included by the sources of this folder alone.
#pragma once

#include "basilhall/logging/field.h"

#include <span>
#include <string>
#include <string_view>

namespace basilhall::logging::internal
{

// Returns `Took over a shard. shard=7`; values with spaces are quoted, control characters escaped.
std::string textLine(std::string_view sentence, std::span<const Field> fields);

// Returns `"message":"Took over a shard.","shard":7`, members without braces.
std::string jsonMembers(std::string_view sentence, std::span<const Field> fields);

} // namespace basilhall::logging::internal
