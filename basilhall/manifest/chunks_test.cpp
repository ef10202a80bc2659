#include "basilhall/manifest/chunks.h"

#include "basilhall/manifest/diff.h"
#include "basilhall/manifest/line_codec.h"
#include "basilhall/manifest/root.h"
#include "basilhall/manifest/sample_content.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace basilhall;
using namespace basilhall::manifest;

namespace
{

std::size_t chunksNotIn(const std::vector<Chunk> &chunks, const std::vector<Chunk> &others)
{
    const std::set<Chunk> known(others.begin(), others.end());
    std::size_t count = 0;
    for (const Chunk &chunk : chunks) {
        count += known.contains(chunk) ? 0 : 1;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest_chunks)

BOOST_AUTO_TEST_CASE(contentRoundTripsThroughChunks)
{
    const Content content = sampleContent(1000);
    const std::vector<Chunk> chunks = splitIntoChunks(content);
    BOOST_TEST(chunks.size() > 4U);
    BOOST_TEST(chunks.size() < 30U);
    const Result<Content> back = joinChunks(chunks);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back.value() == content));
    BOOST_TEST((splitIntoChunks(back.value()) == chunks));
}

BOOST_AUTO_TEST_CASE(changeOfOneTeamChangesOneChunk)
{
    const Content before = sampleContent(3000);
    Content after = before;
    after.teams.at(TeamName("team-1234")).burst = 99;
    const std::vector<Chunk> old = splitIntoChunks(before);
    BOOST_TEST(chunksNotIn(splitIntoChunks(after), old) == 1U);
    after.teams.erase(TeamName("team-77"));
    BOOST_TEST(chunksNotIn(splitIntoChunks(after), old) <= 2U);
}

BOOST_AUTO_TEST_CASE(chunksDoNotExceedMaximumSize)
{
    Content content = sampleContent(20);
    for (auto &[name, team] : content.teams) {
        team.keyDigests.assign(1000, std::string(64, 'a'));
    }
    for (const Chunk &chunk : splitIntoChunks(content)) {
        BOOST_TEST(chunk.payload.size() <= kMaxChunkBytes);
    }
}

BOOST_AUTO_TEST_CASE(damagedLineIsReportedWithChunkAndLineNumber)
{
    Content content;
    for (const char *line :
         {"", "[]", "{}", "{\"type\":\"oven\"}", "{\"type\":\"shards\",\"count\":0}",
          "{\"type\":\"shards\",\"count\":1.5}", "{\"type\":\"model\",\"name\":\"x\"}",
          "{\"type\":\"shards\",\"count\":8,\"other\":1}"}) {
        content = Content{};
        const Result<void> decoded = decodeLine(line, content);
        BOOST_TEST(!decoded.has_value(), line);
    }
    const Chunk chunk{"d1", "{\"type\":\"shards\",\"count\":8}\n{\"type\":\"model\"}\n"};
    content = Content{};
    const Result<void> added = addChunk(chunk, content);
    BOOST_REQUIRE(!added.has_value());
    BOOST_TEST(added.error().message().starts_with("manifest chunk d1, line 2: member \"name\""));
}

BOOST_AUTO_TEST_CASE(rootRoundTripsThroughEncoding)
{
    Root root;
    root.generation = 8;
    root.chunks = {{std::string(64, 'a'), 3}};
    root.retired = {{std::string(64, 'b'), 2}};
    root.history = {{8, 7, "ci", "id", 1000, 1, {"team \"a\" added"}}};
    const Result<Root> back = decodeRoot(encodeRoot(root));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back.value() == root));
}

BOOST_AUTO_TEST_CASE(damagedRootIsRefused)
{
    for (const char *text :
         {"", "1", "{}", "{\"generation\":1,\"chunks\":[],\"retired\":[],\"history\":[]}",
          "{\"generation\":1,\"chunks\":[\"x\"],\"retired\":[],\"history\":[]}",
          "{\"generation\":-1,\"chunks\":[],\"retired\":[],\"history\":[{}]}"}) {
        BOOST_TEST(!decodeRoot(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(changesAreListedByObjectAndField)
{
    const Content before = sampleContent(3);
    Content after = before;
    after.teams.erase(TeamName("team-0"));
    Team &changed = after.teams.at(TeamName("team-1"));
    changed.burst = 50;
    const std::string withdrawn = changed.keyDigests[0];
    changed.keyDigests.erase(changed.keyDigests.begin());
    const Team added = sampleTeam(9);
    after.teams.emplace(added.name, added);
    after.endpoints.begin()->second.leaving = true;
    const std::vector<std::string> expected{
        "endpoint \"mati-1\": leaving false -> true",
        "team \"team-0\" removed",
        "team \"team-1\": burst 25 -> 50",
        "team \"team-1\": key " + withdrawn.substr(0, 12) + "... withdrawn",
        "team \"team-9\" added",
    };
    const std::vector<std::string> changes = changesBetween(before, after);
    BOOST_TEST(changes == expected, boost::test_tools::per_element());
    BOOST_TEST(changesBetween(after, after).empty());
    // Two keys belonged to the removed team, one was withdrawn.
    BOOST_TEST(withdrawnKeys(before, after).size() == 3U);
    BOOST_TEST(withdrawnKeys(before, after).back()
               == "team \"team-1\": key " + withdrawn.substr(0, 12) + "...");
}

BOOST_AUTO_TEST_SUITE_END()
