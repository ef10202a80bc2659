// The priority classes of calls, highest first.
#pragma once

#include <cstddef>

namespace basilhall::schedule
{

enum class PriorityClass {
    Urgent,
    Normal,
    Batch,
};

inline constexpr std::size_t kPriorityClassCount = 3;

} // namespace basilhall::schedule
