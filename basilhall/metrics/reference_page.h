// The reference page of the metrics, made from the table.
#pragma once

#include <string>

namespace basilhall::metrics
{

// Returns docs/METRICS.md.
std::string referencePage();

} // namespace basilhall::metrics
