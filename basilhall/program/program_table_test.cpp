#include "basilhall/program/program_table.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::program;

namespace
{

constexpr std::uint32_t kShard = 3;

journal::Record openedRecord(const std::string &id, std::uint64_t budget, std::uint64_t reserved)
{
    journal::Record record;
    record.set_shard(kShard);
    record.set_epoch(1);
    record.mutable_program_opened()->set_program_id(id);
    record.mutable_program_opened()->set_team("haulers");
    record.mutable_program_opened()->set_budget_tokens(budget);
    record.mutable_program_opened()->set_reserved_tokens(reserved);
    return record;
}

journal::Record settledRecord(const std::string &id, std::uint64_t turn, std::uint64_t spent,
                              std::uint64_t reservedNext)
{
    journal::Record record;
    record.set_shard(kShard);
    record.set_epoch(1);
    journal::TurnSettled &settled = *record.mutable_turn_settled();
    settled.set_program_id(id);
    settled.set_turn(turn);
    settled.set_call_id("call-" + std::to_string(turn));
    settled.set_messages("{\"n\":" + std::to_string(turn) + "}");
    settled.set_spent_tokens(spent);
    settled.set_reserved_next_tokens(reservedNext);
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(program_table)

BOOST_AUTO_TEST_CASE(turnsAreAppendedToTheHistoryInOrder)
{
    ProgramTable table;
    BOOST_TEST(table.apply(openedRecord("p", 100, 0)).has_value());
    BOOST_TEST(table.apply(settledRecord("p", 1, 10, 0)).has_value());
    BOOST_TEST(!table.apply(settledRecord("p", 3, 10, 0)).has_value());
    BOOST_TEST(table.apply(settledRecord("p", 2, 10, 0)).has_value());
    BOOST_TEST(table.find(ProgramId("p"))->messages() == "{\"n\":1},{\"n\":2}");
    BOOST_TEST(table.accountOf(ProgramId("p"))->spent() == 20);
}

BOOST_AUTO_TEST_CASE(subAgentsSpendFromTheAccountOfTheirRoot)
{
    ProgramTable table;
    BOOST_TEST(table.apply(openedRecord("p", 100, 0)).has_value());
    BOOST_TEST(table.apply(openedRecord("p.child", 0, 30)).has_value());
    BOOST_TEST(table.accountOf(ProgramId("p.child"))->available() == 70);
    BOOST_TEST(!table.apply(openedRecord("q.child", 0, 30)).has_value());
}

BOOST_AUTO_TEST_CASE(aNewEpochCountsReservationsAsSpent)
{
    ProgramTable table;
    BOOST_TEST(table.apply(openedRecord("p", 100, 0)).has_value());
    BOOST_TEST(table.apply(settledRecord("p", 1, 10, 40)).has_value());
    table.beginEpoch(kShard, 2);
    const BudgetAccount &account = *table.accountOf(ProgramId("p"));
    BOOST_TEST(account.spent() == 50U);
    BOOST_TEST(account.reserved() == 0U);
    BOOST_TEST(!table.apply(settledRecord("p", 2, 1, 0)).has_value(),
               "records of an older epoch must be refused");
}

BOOST_AUTO_TEST_CASE(snapshotRebuildsTheShard)
{
    ProgramTable table;
    BOOST_TEST(table.apply(openedRecord("p", 100, 5)).has_value());
    BOOST_TEST(table.apply(openedRecord("p.child", 0, 30)).has_value());
    BOOST_TEST(table.apply(settledRecord("p.child", 1, 20, 25)).has_value());
    ProgramTable rebuilt;
    for (const journal::Record &record : table.snapshot(kShard)) {
        BOOST_TEST(rebuilt.apply(record).has_value());
    }
    BOOST_TEST((*rebuilt.accountOf(ProgramId("p")) == *table.accountOf(ProgramId("p"))));
    BOOST_TEST(rebuilt.find(ProgramId("p.child"))->messages()
               == table.find(ProgramId("p.child"))->messages());
}

BOOST_AUTO_TEST_SUITE_END()
