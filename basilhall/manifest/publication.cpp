#include "basilhall/manifest/publication.h"

#include "basilhall/base/utc_text.h"

namespace basilhall::manifest
{

std::vector<std::string> describe(const Publication &publication)
{
    std::vector<std::string> lines;
    lines.push_back("generation " + std::to_string(publication.generation) + " by "
                    + publication.publisher + " at " + toUtcText(publication.wallMillis) + ": "
                    + std::to_string(publication.changeCount)
                    + (publication.changeCount == 1 ? " change" : " changes"));
    for (const std::string &change : publication.changes) {
        lines.push_back("  " + change);
    }
    if (publication.changeCount > publication.changes.size()) {
        lines.push_back("  and "
                        + std::to_string(publication.changeCount - publication.changes.size())
                        + " more");
    }
    return lines;
}

} // namespace basilhall::manifest
