// The waiting calls of one priority class. Teams share the tokens by weight (weighted fair queueing
// in virtual time).
//
//     queue.insert(team, rank);
//     const TeamName next = queue.nextTeam();
//     queue.charge(next, tokens, weight);
#pragma once

#include "basilhall/schedule/team_queue.h"

#include <set>
#include <unordered_map>

namespace basilhall::schedule
{

// Not thread-safe. Each operation is O(log n). Forgets a team without waiting calls once virtual
// time has passed the service that it received.
class ClassQueue
{
public:
    using Rank = TeamQueue::Rank;

    void insert(const TeamName &team, const Rank &rank);
    void erase(const TeamName &team, const Rank &rank);

    bool isEmpty() const { return m_waiting.empty(); }
    // The team that is served next. Requires a waiting call.
    const TeamName &nextTeam() const { return m_waiting.begin()->second; }
    // The rank of the call of `nextTeam` that runs next. Requires a waiting call.
    const Rank &nextRank() const;

    // Charges `team` for served tokens. Negative `tokens` refund an earlier charge.
    void charge(const TeamName &team, std::int64_t tokens, std::uint32_t weight);

    std::size_t teamCount() const { return m_teams.size(); }

private:
    // Virtual time in 1/1024 tokens per unit of weight.
    using VirtualTime = std::int64_t;
    using Position = std::pair<VirtualTime, TeamName>;

    struct Team {
        // Virtual time at which the next call of the team is due.
        VirtualTime virtualStart = 0;
        TeamQueue calls;
    };

    void forgetCaughtUpTeams();

    VirtualTime m_virtualNow = 0;
    std::unordered_map<TeamName, Team> m_teams;
    std::set<Position> m_waiting;
    // Teams without waiting calls whose virtualStart is later than m_virtualNow.
    std::set<Position> m_idle;
};

} // namespace basilhall::schedule
