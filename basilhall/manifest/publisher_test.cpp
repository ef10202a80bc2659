#include "basilhall/manifest/publisher.h"

#include "basilhall/manifest/acceptor.h"
#include "basilhall/manifest/sample_content.h"
#include "basilhall/manifest/store_harness.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::manifest;

namespace
{

PublishRequest requestFor(Content content, const std::string &id)
{
    PublishRequest request;
    request.content = std::move(content);
    request.publisher = "ci";
    request.publicationId = id;
    request.wallMillis = 1'767'261'600'000;
    return request;
}

Result<Published> publish(StoreHarness &harness, PublishRequest request)
{
    Publisher publisher(std::move(request), harness.ids());
    BOOST_REQUIRE(harness.run(publisher));
    return publisher.result();
}

void mustPublish(StoreHarness &harness, PublishRequest request)
{
    const Result<Published> published = publish(harness, std::move(request));
    BOOST_REQUIRE(published.has_value());
}

Result<std::optional<Candidate>> load(StoreHarness &harness, std::optional<Candidate> held = {})
{
    Loader loader(harness.ids(), std::move(held));
    BOOST_REQUIRE(harness.run(loader));
    return loader.result();
}

Content changed(std::uint32_t burst, std::size_t team = 0)
{
    Content content = sampleContent(500);
    content.teams.at(sampleTeam(team).name).burst = burst;
    return content;
}

bool isRootWrite(const store::Request &request)
{
    const auto *const create = std::get_if<store::Create>(&request);
    const auto *const update = std::get_if<store::Update>(&request);
    return (create != nullptr && create->key == rootKey())
        || (update != nullptr && update->key == rootKey());
}

// Returns a fault source that injects `fault` into the first write of the root.
StoreHarness::FaultSource firstRootWrite(StoreFault fault)
{
    return [fault, isFirst = true](const store::Request &request) mutable {
        if (!isRootWrite(request) || !isFirst) {
            return StoreFault::None;
        }
        isFirst = false;
        return fault;
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest_publisher)

BOOST_AUTO_TEST_CASE(publishedContentCanBeLoaded)
{
    StoreHarness harness;
    const Result<Published> published = publish(harness, requestFor(changed(7), "p1"));
    BOOST_REQUIRE(published.has_value());
    BOOST_TEST(published.value().generation == 1U);
    const Result<std::optional<Candidate>> loaded = load(harness);
    BOOST_REQUIRE(loaded.has_value());
    BOOST_REQUIRE(loaded.value().has_value());
    BOOST_TEST((loaded.value()->manifest()->content() == changed(7)));
    BOOST_TEST(!load(harness, loaded.value()).value().has_value());
}

BOOST_AUTO_TEST_CASE(changeOfOneTeamWritesAndReadsOneChunk)
{
    StoreHarness harness;
    mustPublish(harness, requestFor(changed(7), "p1"));
    const std::optional<Candidate> held = load(harness).value();
    const std::uint64_t writes = harness.store().writes();
    const Result<Published> published = publish(harness, requestFor(changed(8), "p2"));
    BOOST_TEST(published.value().newChunks == 1U);
    BOOST_TEST(harness.store().writes() - writes == 2U);
    const std::uint64_t reads = harness.store().reads();
    const Result<std::optional<Candidate>> loaded = load(harness, held);
    BOOST_TEST(loaded.value()->generation() == 2U);
    BOOST_TEST(harness.store().reads() - reads == 2U);
}

BOOST_AUTO_TEST_CASE(sameContentIsNotPublishedAgain)
{
    StoreHarness harness;
    mustPublish(harness, requestFor(changed(7), "p1"));
    const std::uint64_t writes = harness.store().writes();
    const Result<Published> again = publish(harness, requestFor(changed(7), "p2"));
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again.value().isUnchanged);
    BOOST_TEST(again.value().generation == 1U);
    BOOST_TEST(harness.store().writes() == writes);
}

BOOST_AUTO_TEST_CASE(losingPublisherGetsConflictListingChanges)
{
    StoreHarness harness;
    mustPublish(harness, requestFor(changed(7), "p1"));
    Publisher first(requestFor(changed(8, 1), "p2"), harness.ids());
    Publisher second(requestFor(changed(9, 2), "p3"), harness.ids());
    while (!first.isFinished() || !second.isFinished()) {
        harness.step(first);
        harness.step(second);
    }
    BOOST_TEST(first.result().has_value());
    BOOST_REQUIRE(!second.result().has_value());
    const Error &error = second.result().error();
    BOOST_TEST((error.kind() == ErrorKind::Conflict));
    BOOST_TEST(error.notRun());
    BOOST_TEST(error.message().find("made from generation 1, but generation 2")
               != std::string::npos);
    BOOST_TEST(error.message().find("team \"team-1\": burst 25 -> 8") != std::string::npos);
    BOOST_TEST((load(harness).value()->manifest()->content() == changed(8, 1)));
}

BOOST_AUTO_TEST_CASE(staleBaseIsAConflictBeforeAnyWrite)
{
    StoreHarness harness;
    mustPublish(harness, requestFor(changed(7), "p1"));
    mustPublish(harness, requestFor(changed(8), "p2"));
    const std::uint64_t writes = harness.store().writes();
    PublishRequest stale = requestFor(changed(9), "p3");
    stale.fromGeneration = 1;
    const Result<Published> result = publish(harness, stale);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind() == ErrorKind::Conflict));
    BOOST_TEST(harness.store().writes() == writes);
}

BOOST_AUTO_TEST_CASE(lostRootWriteIsResolvedByReadingBack)
{
    for (const StoreFault fault : {StoreFault::LostAnswer, StoreFault::LostRequest}) {
        StoreHarness harness;
        harness.setFaults(firstRootWrite(fault));
        BOOST_TEST(publish(harness, requestFor(changed(7), "p1")).value().generation == 1U);
        harness.setFaults(firstRootWrite(fault));
        BOOST_TEST(publish(harness, requestFor(changed(8), "p2")).value().generation == 2U);
        BOOST_TEST(load(harness).value()->root().history.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(outageErrorTellsWhetherRootWriteMayHaveTakenEffect)
{
    StoreHarness away;
    away.setFaults([](const store::Request &) { return StoreFault::LostRequest; });
    const Result<Published> none = publish(away, requestFor(changed(7), "p1"));
    BOOST_TEST((none.error().kind() == ErrorKind::StoreUnavailable));
    BOOST_TEST(none.error().notRun());

    StoreHarness leaving;
    leaving.setFaults([isAway = false](const store::Request &request) mutable {
        isAway = isAway || isRootWrite(request);
        return isAway ? StoreFault::LostAnswer : StoreFault::None;
    });
    const Result<Published> unknown = publish(leaving, requestFor(changed(7), "p1"));
    BOOST_TEST((unknown.error().kind() == ErrorKind::OutcomeUnknown));
    BOOST_TEST(!unknown.error().notRun());
}

BOOST_AUTO_TEST_CASE(unreferencedChunksAreRemoved)
{
    StoreHarness harness;
    constexpr std::uint32_t kPublications = 30;
    for (std::uint32_t i = 1; i <= kPublications; ++i) {
        mustPublish(harness, requestFor(changed(i), "p" + std::to_string(i)));
    }
    const Root root = load(harness).value()->root();
    const std::size_t expected = 1 + root.chunks.size() + root.retired.size();
    BOOST_TEST(harness.store().objects().size() == expected);
    BOOST_TEST(root.history.size() == kMaxHistory);
}

BOOST_AUTO_TEST_CASE(shardCountInForceMayNotChange)
{
    StoreHarness harness;
    mustPublish(harness, requestFor(changed(7), "p1"));
    Content other = changed(8);
    other.shardCount = 48;
    const Result<Published> result = publish(harness, requestFor(other, "p2"));
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().message().find("shard_count") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(damagedObjectsAreNamedAndCanBeReplaced)
{
    StoreHarness harness;
    mustPublish(harness, requestFor(changed(7), "p1"));
    const Root root = load(harness).value()->root();
    const store::ObjectKey key = chunkKey(root.chunks.front());
    const store::Object object = harness.store().objects().at(key);
    const store::Update edit{key, object.data + "x", object.version};
    BOOST_REQUIRE(harness.store().apply(edit).has_value());

    const Result<std::optional<Candidate>> loaded = load(harness);
    BOOST_REQUIRE(!loaded.has_value());
    BOOST_TEST((loaded.error().kind() == ErrorKind::Corrupt));
    BOOST_TEST(loaded.error().message().find(key.name) != std::string::npos);

    BOOST_REQUIRE(harness.store().apply(store::Remove{key}).has_value());
    BOOST_TEST(load(harness).error().message().find("is missing") != std::string::npos);

    PublishRequest repair = requestFor(changed(8), "p2");
    BOOST_TEST(!publish(harness, repair).has_value());
    repair.fromGeneration = 1;
    repair.replaceDamaged = true;
    BOOST_TEST(publish(harness, repair).value().generation == 2U);
    BOOST_TEST((load(harness).value()->manifest()->content() == changed(8)));
}

BOOST_AUTO_TEST_SUITE_END()
