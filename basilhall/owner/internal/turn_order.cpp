#include "basilhall/owner/internal/turn_order.h"

#include <algorithm>

namespace basilhall::owner::internal
{

Call *selectNext(CallQueue &queue, std::uint64_t nextTurn)
{
    bool isBehindNumbered = false;
    for (auto it = queue.calls.begin(); it != queue.calls.end(); ++it) {
        const std::uint64_t turn = (*it)->request.turn();
        const bool isNext = turn == 0 ? !isBehindNumbered : turn <= nextTurn;
        if (isNext) {
            std::rotate(queue.calls.begin(), it, it + 1);
            return queue.calls.front().get();
        }
        isBehindNumbered = isBehindNumbered || turn != 0;
    }
    return nullptr;
}

std::optional<Error> refusalOfTurn(const OwnerState &state, const ProgramId &program,
                                   const Call &call, std::uint64_t nextTurn)
{
    const std::string name = "program \"" + program.value() + "\"";
    const std::uint64_t turn = call.request.turn();
    if (turn != 0 && turn < nextTurn) {
        const std::string message =
            "turn " + std::to_string(turn) + " of " + name + " belongs to another call";
        return Error(ErrorKind::Conflict, message).withNotRun();
    }
    const program::Program *known = state.table.find(program);
    if (known != nullptr && known->ended()) {
        return Error(ErrorKind::ProgramEnded, name + " has ended").withNotRun();
    }
    if (nextTurn > state.options.maxTurns) {
        const std::string limit = std::to_string(state.options.maxTurns);
        return Error(ErrorKind::BudgetExceeded,
                     name + " has reached the limit of " + limit + " turns")
            .withNotRun();
    }
    return std::nullopt;
}

} // namespace basilhall::owner::internal
