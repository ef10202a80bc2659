// Measures size and processing time of a manifest by number of teams. Usage: manifest-cost
// [TEAMS...] Prints one row per number of teams; docs/CAPACITY.md uses the slopes.

#include "basilhall/manifest/candidate.h"
#include "basilhall/manifest/diff.h"
#include "basilhall/manifest/sample_content.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <set>
#include <vector>

using namespace basilhall;
using namespace basilhall::manifest;

namespace
{

constexpr double kMillisPerNano = 1e-6;
constexpr double kBytesPerKilobyte = 1024;

template<typename Work>
double millisecondsOf(Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return static_cast<double>((std::chrono::steady_clock::now() - begin).count()) * kMillisPerNano;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

Root rootOf(std::uint64_t generation, const std::vector<Chunk> &chunks)
{
    Root root;
    root.generation = generation;
    root.history = {{generation, generation - 1, "ci", "id", 0, 1, {"team \"x\" added"}}};
    for (const Chunk &chunk : chunks) {
        root.chunks.push_back({chunk.digest, generation});
    }
    return root;
}

std::size_t bytesOf(const std::vector<Chunk> &chunks)
{
    std::size_t bytes = 0;
    for (const Chunk &chunk : chunks) {
        bytes += chunk.payload.size();
    }
    return bytes;
}

// Returns the total size in bytes of the chunks in `after` that are not in `before`.
std::size_t newBytes(const std::vector<Chunk> &before, const std::vector<Chunk> &after)
{
    const std::set<Chunk> known(before.begin(), before.end());
    std::size_t bytes = 0;
    for (const Chunk &chunk : after) {
        bytes += known.contains(chunk) ? 0 : chunk.payload.size();
    }
    return bytes;
}

void measure(std::size_t teams)
{
    const Content content = sampleContent(teams);
    std::vector<Chunk> chunks;
    const double encode = millisecondsOf([&] { chunks = splitIntoChunks(content); });
    const Root root = rootOf(1, chunks);
    const std::size_t heapBefore = heapBytes();
    std::vector<Candidate> held;
    const double decode =
        millisecondsOf([&] { held.push_back(Candidate::make(root, chunks).value()); });
    const std::size_t heap = heapBytes() - heapBefore;

    Content changed = content;
    changed.teams.at(sampleTeam(teams / 2).name).burst += 1;
    const std::vector<Chunk> after = splitIntoChunks(changed);
    std::vector<std::string> changes;
    const double diff = millisecondsOf([&] { changes = changesBetween(content, changed); });
    const std::size_t rootBytes = encodeRoot(rootOf(2, after)).size();
    std::printf("%8zu %10.0f %7zu %9.1f %12.1f %10.0f %10.1f %10.1f %8.1f\n", teams,
                static_cast<double>(bytesOf(chunks)) / kBytesPerKilobyte, chunks.size(),
                static_cast<double>(rootBytes) / kBytesPerKilobyte,
                static_cast<double>(newBytes(chunks, after)) / kBytesPerKilobyte,
                static_cast<double>(heap) / kBytesPerKilobyte, encode, decode, diff);
}

} // namespace

int main(int argc, char **argv)
{
    std::printf("%8s %10s %7s %9s %12s %10s %10s %10s %8s\n", "teams", "content KB", "chunks",
                "root KB", "new chunk KB", "heap KB", "encode ms", "decode ms", "diff ms");
    std::vector<std::size_t> sizes{8, 1'000, 10'000, 30'000};
    if (argc > 1) {
        sizes.clear();
        for (int i = 1; i < argc; ++i) {
            sizes.push_back(std::strtoul(argv[i], nullptr, 10));
        }
    }
    for (const std::size_t teams : sizes) {
        measure(teams);
    }
    return 0;
}
