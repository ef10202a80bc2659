#include "basilhall/entry/lease_renewer.h"

#include "basilhall/store/memory_store.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t kShard = 0;
constexpr std::uint64_t kEpoch = 1;

struct Fixture {
    // Sends the pending writes and delivers their outcomes at `answeredAt`.
    void send(Instant now, Instant answeredAt)
    {
        const std::vector<store::Operation> operations = writer.advance(now);
        renewer.onSending(operations, now);
        for (const store::Operation &operation : operations) {
            writer.onOutcome(operation.id, objects.apply(operation.request), answeredAt);
        }
        renewer.processDurableBatches();
    }

    store::MemoryStore objects;
    store::OperationIdSource ids;
    journal::Writer writer{Incarnation("a"), ids, {}};
    limit::Limiter limiter{limit::LimitTimes()};
    entry::LeaseRenewer renewer{writer, limiter};
    const Instant start{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lease_renewer, Fixture)

BOOST_AUTO_TEST_CASE(leaseStartsWhenTheBatchIsSent)
{
    renewer.renewIfDue(kShard, kEpoch, start);
    send(start + 1s, start + 3s);
    BOOST_TEST((limiter.leaseEnd() == start + 1s + limit::LimitTimes().lease));
}

BOOST_AUTO_TEST_CASE(sealedJournalDoesNotRenewTheLease)
{
    const auto seal = journal::makeSeal(Incarnation("a"), 1, Incarnation("b"));
    BOOST_TEST(objects
                   .apply(store::Create{journal::batchKey(Incarnation("a"), 1),
                                        journal::encodeBatch(seal)})
                   .has_value());
    renewer.renewIfDue(kShard, kEpoch, start);
    for (int i = 1; i <= 5; ++i) {
        send(start + i * 1s, start + i * 1s);
    }
    BOOST_TEST(writer.isSealed());
    BOOST_TEST((limiter.leaseEnd() == Instant::min()));
}

BOOST_AUTO_TEST_CASE(freshLeaseIsNotRenewed)
{
    renewer.renewIfDue(kShard, kEpoch, start);
    send(start, start);
    const journal::RecordTicket last = writer.lastTicket();
    renewer.renewIfDue(kShard, kEpoch, start + 500ms);
    BOOST_TEST(writer.lastTicket() == last);
    renewer.renewIfDue(kShard, kEpoch, start + 1500ms);
    BOOST_TEST(writer.lastTicket() == last + 1);
}

BOOST_AUTO_TEST_SUITE_END()
