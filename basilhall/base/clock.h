// The clock that a driver hands to the parts that need one.
#pragma once

#include "basilhall/base/time.h"

#include <concepts>

namespace basilhall
{

// A source of the current time. A real process uses MonotonicClock, a test a virtual clock.
// clang-format off
template<typename T>
concept Clock = requires(const T &clock) {
    { clock.now() } -> std::same_as<Instant>;
};
// clang-format on

} // namespace basilhall
