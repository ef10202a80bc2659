#include "basilhall/manifest/team.h"

#include <algorithm>

namespace basilhall::manifest
{

bool Team::mayUseRoute(std::string_view route) const
{
    return routes.empty() || std::find(routes.begin(), routes.end(), route) != routes.end();
}

bool Team::mayUseModel(std::string_view model) const
{
    const auto isNamed = [model](const ModelName &allowed) { return allowed.value() == model; };
    return models.empty() || std::any_of(models.begin(), models.end(), isNamed);
}

} // namespace basilhall::manifest
