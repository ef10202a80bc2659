// Parses and prints durations: a number, a space and a unit.
//
//     parseDuration("50 ms"); // 50 milliseconds
//     parseDuration("50");    // InvalidRequest: no unit
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"

#include <string>
#include <string_view>

namespace basilhall::config
{

// Accepts a whole number and one of the units us, ms, s, min and h; the space is optional. Returns
// InvalidRequest with the text otherwise, or if the value exceeds the range of Duration.
Result<Duration> parseDuration(std::string_view text);

// Returns the shortest exact form that parseDuration accepts; fractions of a microsecond are
// truncated.
std::string toString(Duration duration);

} // namespace basilhall::config
