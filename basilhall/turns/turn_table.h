// The kept turns that a process knows, and the prompts that they add up to.
//
//     TurnTable table;
//     table.add(turn);
//     Result<std::string> prompt = table.prompt(previous, team, input);
//     table.expire(wallNow);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/turns/kept_turn.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace basilhall::turns
{

// Not thread-safe. Memory grows with the turns kept.
class TurnTable
{
public:
    // Adding a known turn again changes nothing but how long it is kept. Its chain is kept as long.
    void add(KeptTurn turn);
    bool contains(const TurnId &id) const { return m_turns.contains(id); }
    // Returns the turns of the chain that ends with `id`, last first, as far as they are known.
    std::vector<KeptTurn> chain(const TurnId &id) const;
    // True if the turn and all before it are known.
    bool hasWholeChain(const TurnId &id) const;
    bool belongsTo(const TurnId &id, const TeamName &team) const;
    // Returns what the endpoint is to read: input and output of each turn of the chain that ends
    // with `previous`, oldest first, and then `input`. NotFound names the turn of the chain that is
    // unknown or another team's.
    Result<std::string> prompt(const TurnId &previous, const TeamName &team,
                               const std::string &input) const;
    // Drops the turns whose time is over.
    void expire(WallMillis now);
    std::size_t size() const { return m_turns.size(); }

private:
    std::unordered_map<TurnId, KeptTurn> m_turns;
};

} // namespace basilhall::turns
