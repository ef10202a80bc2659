// A program must not get two homes, which would each admit turns against its whole budget.
#include "basilhall/gateway/testing/mesh_fixture.h"

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

constexpr std::uint64_t kMaxTurnTokens = 580;
// Three turns fit.
constexpr std::uint64_t kBudget = 3 * kMaxTurnTokens;

// Two holders, `strong` and `late`, of which only `strong` has read the spending of the journals,
// as after a restart of all gateways. `weak` asks for its callers.
struct LateHolderFixture : MeshFixture {
    LateHolderFixture()
    {
        late->keeper.setLoaded();
        const std::vector<Member> members{strong->mesh.member(), late->mesh.member(),
                                          weak->mesh.member()};
        for (const auto &node : {strong, late, weak}) {
            node->mesh.setMembers(members);
        }
        flushAllUntil([this] {
            return strong->mesh.reachableCount() == 2 && late->mesh.reachableCount() == 2
                && weak->mesh.reachableCount() == 2 && !weak->mesh.isHolder()
                && weak->mesh.hasHolderWithLedger();
        });
    }

    void flushAllUntil(const std::function<bool()> &condition)
    {
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            asio::steady_timer pause(context);
            while (!condition()) {
                for (const auto &node : {strong, late, weak}) {
                    node->mesh.flush();
                }
                pause.expires_after(5ms);
                (void)co_await pause.async_wait(kTuple);
            }
        });
    }

    // A program that `late` is chosen for once it may be a home.
    static turns::TurnBudget turnOfLate(int number)
    {
        int found = 0;
        for (int i = 0;; ++i) {
            const std::string name = "program" + std::to_string(i);
            const std::hash<std::string> hash;
            if (hash(name + "/late") > hash(name + "/strong") && found++ == number) {
                return {ProgramId(name), kTeam, kBudget, kMaxTurnTokens};
            }
        }
    }

    // Requests `turns` turns at `node`; returns how many are admitted. No turn ends.
    int admitted(MeshNode &node, const turns::TurnBudget &turn, int turns)
    {
        int count = 0;
        for (int i = 0; i < turns; ++i) {
            const auto admission = admit(node, turn);
            count += admission && admission.value() == turns::Admission::Admitted ? 1 : 0;
        }
        return count;
    }

    std::shared_ptr<MeshNode> late = std::make_shared<MeshNode>(context, objects, "late", 400, "b");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_program_home, LateHolderFixture)

// Seen after a loss of all gateways: 5 turns of 580 tokens were admitted with a budget of 1,740,
// since a holder that had just read the spending did not know yet what another one had admitted.
BOOST_AUTO_TEST_CASE(holderThatReadsTheSpendingLaterDoesNotAdmitAgain)
{
    const turns::TurnBudget turn = turnOfLate(0);
    const int before = admitted(*weak, turn, 2);
    BOOST_TEST(before == 2);
    late->keeper.setLedgerKnown();
    const int after = admitted(*late, turn, 3);
    BOOST_TEST(before + after <= 3);
    flushAllUntil([this] { return late->mesh.hasHolderWithLedger(); });
    BOOST_TEST(before + after + admitted(*late, turn, 3) == 3);
}

// The asker does not know yet that the holder may be chosen, and asks another one.
BOOST_AUTO_TEST_CASE(askerThatKnowsFewerHoldersIsSentToTheHomeThatOthersChoose)
{
    late->keeper.setLedgerKnown();
    // `late` announces itself to `strong`; `weak` learns of it from its next update only.
    (void)admitted(*late, turnOfLate(0), 1);
    wait(50ms);
    const turns::TurnBudget turn = turnOfLate(1);
    const int atWeak = admitted(*weak, turn, 3);
    const int atLate = admitted(*late, turn, 3);
    BOOST_TEST(atWeak == 3);
    BOOST_TEST(atLate == 0);
    BOOST_TEST(late->state.budgets().home(turn.program) == Incarnation("late-1"));
}

// A loss of all gateways would hide that the program ever had a turn, and each further loss one
// more (review/12).
BOOST_AUTO_TEST_CASE(firstTurnOfAProgramIsNotGrantedBeforeItIsRecorded)
{
    const turns::TurnBudget turn{ProgramId("p"), kTeam, kBudget, kMaxTurnTokens};
    for (const auto &node : {strong, late, weak}) {
        node->isStoreSilent = true;
    }
    BOOST_TEST(!admit(*weak, turn).has_value());
    for (const auto &node : {strong, late, weak}) {
        node->answerStoreCalls();
    }
    wait(1100ms);
    // The turn that was not granted does not count.
    BOOST_TEST(admitted(*weak, turn, 4) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

// Two holders that each write their own records.
struct WritingHolders : MeshFixture {
    WritingHolders()
    {
        const std::vector<Member> members{first->mesh.member(), second->mesh.member()};
        for (const auto &node : {first, second}) {
            node->keeper.setLoaded();
            node->keeper.setLedgerKnown();
            node->mesh.setMembers(members);
        }
        strong = middle = weak = first;
        flushUntil([this] {
            second->mesh.flush();
            return first->mesh.hasHolderWithLedger() && second->mesh.hasHolderWithLedger()
                && first->mesh.isHolder() && second->mesh.isHolder();
        });
    }

    std::shared_ptr<MeshNode> first = std::make_shared<MeshNode>(context, objects, "first", 200);
    std::shared_ptr<MeshNode> second =
        std::make_shared<MeshNode>(context, objects, "second", 190, "b");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_lost_home, WritingHolders)

// The record of a turn was held back, the turn ended, and its home was lost before the next update:
// the next home did not count the turn, and each further loss could forget one more.
BOOST_AUTO_TEST_CASE(turnThatEndsWithoutARecordIsNotForgottenWithItsHome)
{
    turns::TurnBudget turn{ProgramId("p"), kTeam, kBudget, kMaxTurnTokens};
    for (int i = 0; second->state.budgets().home(turn.program) != Incarnation("second-1"); ++i) {
        turn.program = ProgramId("p" + std::to_string(i));
        (void)askHome(*second, turn);
    }
    const auto one = second->state.budgets().admit(turn, MonotonicClock().now());
    BOOST_TEST((one == turns::Admission::Admitted));
    second->isStoreSilent = true;
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> covered = co_await second->keeper.coverEnd(turn.program, 100ms);
        BOOST_TEST(covered.has_value());
    });
    second->state.budgets().settle(turn.program, kMaxTurnTokens, kMaxTurnTokens,
                                   MonotonicClock().now());
    second->mesh.close();
    flushUntil([this] { return first->mesh.reachableCount() == 0; });
    first->mesh.setMembers({});
    int count = 0;
    for (int i = 0; i < 8; ++i) {
        const auto admission = admit(*first, turn);
        count += admission && admission.value() == turns::Admission::Admitted ? 1 : 0;
    }
    BOOST_TEST(count == 2);
}

BOOST_AUTO_TEST_SUITE_END()
