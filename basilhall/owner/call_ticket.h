// Number that identifies one waiting caller between a driver and the owner.
#pragma once

#include <cstdint>

namespace basilhall::owner
{

// Assigned by the driver; never 0 and never reused.
using CallTicket = std::uint64_t;

} // namespace basilhall::owner
