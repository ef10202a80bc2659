// Generates the reference page of the settings from the table.
//
//     std::cout << referencePage();
#pragma once

#include <string>

namespace basilhall::settings
{

// Returns the text of docs/SETTINGS.md.
std::string referencePage();

} // namespace basilhall::settings
