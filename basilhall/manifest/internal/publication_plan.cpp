#include "basilhall/manifest/internal/publication_plan.h"

#include "basilhall/manifest/diff.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_map>

namespace basilhall::manifest::internal
{

namespace
{

std::vector<std::string> keptChanges(const std::vector<std::string> &changes)
{
    const std::size_t count = std::min(changes.size(), kMaxKeptChanges);
    std::vector<std::string> kept(changes.begin(),
                                  changes.begin() + static_cast<std::ptrdiff_t>(count));
    for (std::string &change : kept) {
        if (change.size() > kMaxChangeLength) {
            change.resize(kMaxChangeLength);
            change += "...";
        }
    }
    return kept;
}

std::vector<Publication> withNewest(Publication newest, const std::optional<Candidate> &base)
{
    std::vector<Publication> history{std::move(newest)};
    if (base) {
        const std::vector<Publication> &older = base->root().history;
        history.insert(history.end(), older.begin(), older.end());
    }
    history.resize(std::min(history.size(), kMaxHistory));
    return history;
}

void planChunks(const PublishRequest &request, const std::optional<Candidate> &base,
                PublicationPlan &plan)
{
    std::unordered_map<std::string, ChunkName> published;
    if (base) {
        for (const ChunkName &name : base->root().chunks) {
            published.emplace(name.digest, name);
        }
    }
    for (Chunk &chunk : splitIntoChunks(request.content)) {
        const auto found = published.find(chunk.digest);
        if (found != published.end()) {
            plan.root.chunks.push_back(found->second);
            continue;
        }
        const ChunkName name{chunk.digest, plan.root.generation};
        plan.root.chunks.push_back(name);
        plan.newChunks.push_back({name, std::move(chunk.payload)});
    }
}

void planRemovals(const Root &base, PublicationPlan &plan)
{
    const std::set<ChunkName> kept(plan.root.chunks.begin(), plan.root.chunks.end());
    plan.removals = base.retired;
    std::copy_if(base.chunks.begin(), base.chunks.end(), std::back_inserter(plan.root.retired),
                 [&kept](const ChunkName &name) { return !kept.contains(name); });
}

} // namespace

PublicationPlan planPublication(const PublishRequest &request, const std::optional<Candidate> &base,
                                std::uint64_t baseGeneration)
{
    PublicationPlan plan;
    plan.root.generation = baseGeneration + 1;
    planChunks(request, base, plan);
    if (base) {
        planRemovals(base->root(), plan);
    }
    const Content &before = base ? base->manifest()->content() : Content{};
    plan.published.generation = plan.root.generation;
    plan.published.changes = changesBetween(before, request.content);
    plan.published.chunks = plan.root.chunks.size();
    plan.published.newChunks = plan.newChunks.size();
    plan.root.history = withNewest(
        {plan.root.generation, baseGeneration, request.publisher, request.publicationId,
         request.wallMillis, plan.published.changes.size(), keptChanges(plan.published.changes)},
        base);
    return plan;
}

} // namespace basilhall::manifest::internal
