// Reads the tables of a manifest. Internal to this directory.
#pragma once

#include "basilhall/config/table.h"
#include "basilhall/manifest/content.h"

namespace basilhall::manifest::internal
{

// Each function reads the keys of one table, adds faults to the table, and returns the values that
// could be read.
Team readTeam(config::Table &table);
Route readRoute(config::Table &table);
Model readModel(config::Table &table);
Endpoint readEndpoint(config::Table &table);

} // namespace basilhall::manifest::internal
