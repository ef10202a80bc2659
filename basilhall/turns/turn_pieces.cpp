#include "basilhall/turns/turn_pieces.h"

#include <algorithm>
#include <string>
#include <utility>

namespace basilhall::turns
{

std::vector<KeptTurn> splitTurn(KeptTurn turn, std::size_t maxBytes)
{
    const std::size_t size = turn.input.size() + turn.output.size();
    if (size <= maxBytes) {
        return {std::move(turn)};
    }
    std::vector<KeptTurn> pieces;
    TurnId previous = turn.previous;
    for (std::size_t begin = 0; begin < size; begin += maxBytes) {
        const std::size_t end = std::min(begin + maxBytes, size);
        const std::size_t inputEnd = std::min(end, turn.input.size());
        const std::size_t inputBegin = std::min(begin, inputEnd);
        const std::size_t outputBegin = std::max(begin, turn.input.size()) - turn.input.size();
        const std::size_t outputEnd = std::max(end, turn.input.size()) - turn.input.size();
        const bool isLast = end == size;
        const TurnId id =
            isLast ? turn.id : TurnId(turn.id.value() + "\n" + std::to_string(pieces.size()));
        pieces.push_back({id, turn.team, previous,
                          turn.input.substr(inputBegin, inputEnd - inputBegin),
                          turn.output.substr(outputBegin, outputEnd - outputBegin), turn.keptUntil,
                          turn.allowedRegions});
        previous = id;
    }
    return pieces;
}

} // namespace basilhall::turns
