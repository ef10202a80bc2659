#include "basilhall/journal/writer.h"

#include "basilhall/store/memory_store.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::journal;

namespace
{

const Incarnation kOwner("aa");
const Instant kStart = Instant(std::chrono::hours(1));
const store::Outcome kTimedOut = Error(ErrorKind::StoreUnavailable, "timed out");

Record record(std::size_t bytes = 1)
{
    Record result;
    result.mutable_turn_settled()->set_body(std::string(bytes, 'x'));
    return result;
}

struct Fixture {
    store::MemoryStore memory;
    store::OperationIdSource ids;
    Writer writer{kOwner, ids, {}};
    Instant now = kStart;

    // Executes the operations of the writer until it waits. Returns the number of operations.
    int run()
    {
        int count = 0;
        for (auto operations = writer.advance(now); !operations.empty();
             operations = writer.advance(now)) {
            writer.onOutcome(operations.front().id, memory.apply(operations.front().request), now);
            ++count;
        }
        return count;
    }

    // Executes the next operation but reports a timeout to the writer.
    void loseNextResponse()
    {
        const auto operations = writer.advance(now);
        BOOST_REQUIRE_EQUAL(operations.size(), 1);
        (void)memory.apply(operations.front().request);
        writer.onOutcome(operations.front().id, kTimedOut, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(journal_writer, Fixture)

BOOST_AUTO_TEST_CASE(recordsOfOneIntervalShareOneObject)
{
    BOOST_TEST(writer.append(record(), now).value() == 1);
    BOOST_TEST(run() == 1);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(writer.append(record(), now).has_value());
    }
    BOOST_TEST(run() == 0);
    BOOST_TEST(writer.durableTicket() == 1);
    now = *writer.nextWake();
    BOOST_TEST(run() == 1);
    BOOST_TEST(writer.durableTicket() == 101);
    BOOST_TEST(memory.writes() == 2);
    BOOST_TEST(writer.pendingBytes() == 0);
}

// Batches of megabytes took up to 9 s on a host with a fifth of a core, and each write made the
// next one larger.
BOOST_AUTO_TEST_CASE(batchesDoNotGrowWhileAWriteIsSlow)
{
    constexpr std::size_t kRecordBytes = 10'000;
    constexpr std::size_t kBatchBytes = 5 * kRecordBytes;
    Writer bounded(kOwner, ids, {.batchBytes = kBatchBytes});
    BOOST_TEST(bounded.append(record(), now).has_value());
    std::vector<store::Operation> sent = bounded.advance(now);
    constexpr int kRecords = 400;
    for (int i = 0; i < kRecords; ++i) {
        BOOST_TEST(bounded.append(record(kRecordBytes), now).has_value());
    }
    int creates = 0;
    while (!sent.empty()) {
        const auto *create = std::get_if<store::Create>(&sent.front().request);
        BOOST_TEST_REQUIRE(create != nullptr);
        BOOST_TEST(create->data.size() < 2 * kBatchBytes);
        ++creates;
        bounded.onOutcome(sent.front().id, memory.apply(sent.front().request), now);
        sent = bounded.advance(now);
    }
    // The last batch is not full: it waits for more records.
    BOOST_TEST(creates >= kRecords / 5);
    BOOST_TEST(bounded.pendingBytes() <= kBatchBytes);
    now = *bounded.nextWake();
    sent = bounded.advance(now);
    BOOST_TEST_REQUIRE(sent.size() == 1U);
    bounded.onOutcome(sent.front().id, memory.apply(sent.front().request), now);
    BOOST_TEST(bounded.durableTicket() == kRecords + 1U);
}

BOOST_AUTO_TEST_CASE(recordLargerThanABatchIsWrittenByItself)
{
    Writer bounded(kOwner, ids, {.batchBytes = 100});
    BOOST_TEST(bounded.append(record(1'000), now).has_value());
    BOOST_TEST(bounded.append(record(), now).has_value());
    int creates = 0;
    for (int step = 0; step < 2; ++step) {
        const auto sent = bounded.advance(now);
        BOOST_TEST_REQUIRE(sent.size() == 1U);
        bounded.onOutcome(sent.front().id, memory.apply(sent.front().request), now);
        ++creates;
        now = bounded.nextWake().value_or(now);
    }
    BOOST_TEST(creates == 2);
    BOOST_TEST(bounded.durableTicket() == 2U);
}

// Guards against an interval that is rounded down to whole seconds: 30 writers then made 6000
// writes per second with a budget of 200.
BOOST_AUTO_TEST_CASE(flushIntervalKeepsTheWriteBudget)
{
    using std::chrono::milliseconds;
    BOOST_TEST((flushIntervalFor(3, 200) == milliseconds(15)));
    BOOST_TEST((flushIntervalFor(30, 200) == milliseconds(150)));
    BOOST_TEST((flushIntervalFor(340, 200) == milliseconds(1700)));
    BOOST_TEST((flushIntervalFor(1, 1000) == milliseconds(5)));
    writer.limitWriteRate(30, 200);
    BOOST_TEST((writer.flushInterval() == milliseconds(150)));
    writer.limitWriteRate(3, 200);
    BOOST_TEST((writer.flushInterval() == WriterOptions().flushInterval));
}

BOOST_AUTO_TEST_CASE(lostCreateResponseIsResolvedByReadingBack)
{
    BOOST_TEST(writer.append(record(), now).has_value());
    loseNextResponse();
    BOOST_TEST(writer.durableTicket() == 0);
    BOOST_TEST(writer.append(record(), now).has_value());
    now = *writer.nextWake();
    // Create again, read back, then the next batch.
    BOOST_TEST(run() == 3);
    BOOST_TEST(writer.durableTicket() == 2);
    BOOST_TEST(memory.objects().size() == 2);
    BOOST_TEST(!writer.isSealed());
}

BOOST_AUTO_TEST_CASE(sealedWriterNeverWritesAgain)
{
    BOOST_TEST(writer.append(record(), now).has_value());
    const std::string seal = encodeBatch(makeSeal(kOwner, 1, Incarnation("bb")));
    (void)memory.apply(store::Create{batchKey(kOwner, 1), seal});
    run();
    BOOST_TEST(writer.isSealed());
    BOOST_TEST(writer.durableTicket() == 0);
    BOOST_TEST((writer.append(record(), now).error().kind() == ErrorKind::NotOwner));
    const auto writes = memory.writes();
    now += std::chrono::hours(1);
    run();
    BOOST_TEST(memory.writes() == writes);
}

BOOST_AUTO_TEST_CASE(outageKeepsRecordsUpToTheLimit)
{
    WriterOptions options;
    options.softPendingBytes = 1000;
    options.maxPendingBytes = 2000;
    Writer small(kOwner, ids, options);
    while (small.append(record(100), now)) { }
    BOOST_TEST(small.pendingBytes() <= 2000);
    BOOST_TEST(!small.acceptsNewWork());
    BOOST_TEST((small.oldestPendingSince() == now));
    for (int attempt = 0; attempt < 20; ++attempt) {
        const auto operations = small.advance(now);
        BOOST_REQUIRE_EQUAL(operations.size(), 1);
        small.onOutcome(operations.front().id, kTimedOut, now);
        now = *small.nextWake();
    }
    const auto operations = small.advance(now);
    small.onOutcome(operations.front().id, memory.apply(operations.front().request), now);
    BOOST_TEST(small.durableTicket() == small.lastTicket());
}

BOOST_AUTO_TEST_CASE(recordTooLargeForAnObjectIsRefused)
{
    BOOST_TEST(
        (writer.append(record(kMaxBatchBytes), now).error().kind() == ErrorKind::PayloadTooLarge));
    BOOST_TEST(writer.append(record(kMaxBatchBytes - 100), now).has_value());
    BOOST_TEST(writer.append(record(kMaxBatchBytes - 100), now).has_value());
    for (int i = 0; i < 2; ++i) {
        run();
        now += std::chrono::seconds(1);
    }
    BOOST_TEST(writer.durableTicket() == 2);
    for (const auto &[key, object] : memory.objects()) {
        BOOST_TEST(object.data.size() <= store::kMaxObjectBytes);
    }
}

BOOST_AUTO_TEST_CASE(cutSeparatesEarlierFromLaterRecords)
{
    BOOST_TEST(writer.closeBatch() == 0);
    BOOST_TEST(writer.append(record(), now).has_value());
    BOOST_TEST(writer.closeBatch() == 1);
    BOOST_TEST(writer.append(record(), now).has_value());
    run();
    BOOST_TEST(writer.durableNumber() == 1);
    BOOST_TEST(writer.durableTicket() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(batch_codec)

BOOST_AUTO_TEST_CASE(errorOfADamagedBatchNamesTheObject)
{
    const store::ObjectKey key = batchKey(kOwner, 7);
    Batch batch = makeBatch(kOwner, 7);
    *batch.add_records() = record(50);
    const std::string good = encodeBatch(batch);
    BOOST_TEST(decodeBatch(key, good).value().records_size() == 1);

    batch.set_format_version(kFormatVersion + 1);
    std::vector<std::string> bad{encodeBatch(batch), "", "bh02" + good.substr(4)};
    for (std::size_t i = 0; i < good.size(); ++i) {
        bad.push_back(good.substr(0, i));
        std::string edited = good;
        edited[i] = static_cast<char>(edited[i] ^ 1);
        bad.push_back(edited);
    }
    for (const std::string &data : bad) {
        const auto decoded = decodeBatch(key, data);
        BOOST_REQUIRE(!decoded);
        BOOST_TEST((decoded.error().kind() == ErrorKind::Corrupt));
        BOOST_TEST(decoded.error().message().find(key.name) != std::string::npos);
    }
    BOOST_TEST(!decodeBatch(batchKey(kOwner, 8), good));
}

BOOST_AUTO_TEST_SUITE_END()
