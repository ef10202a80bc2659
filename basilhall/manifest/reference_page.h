// Generates the reference page of the manifest from keyTable().
#pragma once

#include <string>

namespace basilhall::manifest
{

// Returns docs/MANIFEST.md.
std::string referencePage();

} // namespace basilhall::manifest
