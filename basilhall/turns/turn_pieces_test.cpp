#include "basilhall/turns/turn_pieces.h"

#include "basilhall/turns/turn_table.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace basilhall;
using namespace basilhall::turns;

namespace
{

const TeamName kTeam("bakers");
constexpr std::size_t kMaxBytes = 10;

KeptTurn turn(const std::string &input, const std::string &output)
{
    return {TurnId("t"), kTeam, TurnId("before"), input, output, 100, {"north"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(turn_pieces)

BOOST_AUTO_TEST_CASE(turnThatFitsStaysWhole)
{
    const KeptTurn whole = turn("12345", "67890");
    BOOST_TEST((splitTurn(whole, kMaxBytes) == std::vector<KeptTurn>{whole}));
}

BOOST_AUTO_TEST_CASE(piecesMakeThePromptOfTheTurn)
{
    const std::string text = "abcdefghijklmnopqrstuvwxyz0123456789";
    for (std::size_t bytes = kMaxBytes + 1; bytes <= text.size(); ++bytes) {
        for (std::size_t input = 0; input <= bytes; ++input) {
            const KeptTurn large = turn(text.substr(0, input), text.substr(input, bytes - input));
            TurnTable table;
            table.add({TurnId("before"), kTeam, TurnId(), "B", "", 50});
            for (const KeptTurn &piece : splitTurn(large, kMaxBytes)) {
                BOOST_TEST(piece.input.size() + piece.output.size() <= kMaxBytes);
                BOOST_TEST(piece.keptUntil == large.keptUntil);
                BOOST_TEST((piece.allowedRegions == large.allowedRegions));
                table.add(piece);
            }
            const Result<std::string> prompt = table.prompt(TurnId("t"), kTeam, "!");
            BOOST_TEST_REQUIRE(prompt.has_value());
            BOOST_TEST(prompt.value() == "B" + text.substr(0, bytes) + "!");
        }
    }
}

BOOST_AUTO_TEST_CASE(onlyTheLastPieceHasAnIdentifierThatACallerCanName)
{
    const std::vector<KeptTurn> pieces = splitTurn(turn(std::string(35, 'i'), ""), kMaxBytes);
    BOOST_TEST_REQUIRE(pieces.size() == 4U);
    BOOST_TEST((pieces.back().id == TurnId("t")));
    BOOST_TEST((pieces.front().previous == TurnId("before")));
    for (std::size_t i = 0; i + 1 < pieces.size(); ++i) {
        BOOST_TEST(pieces[i].id.value().find('\n') != std::string::npos);
        BOOST_TEST((pieces[i + 1].previous == pieces[i].id));
    }
}

BOOST_AUTO_TEST_SUITE_END()
