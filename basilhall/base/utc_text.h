// Wall-clock time as text for people.
#pragma once

#include "basilhall/base/time.h"

#include <string>

namespace basilhall
{

// Returns the time as `2026-01-31T10:00:00Z`.
std::string toUtcText(WallMillis wallMillis);

} // namespace basilhall
