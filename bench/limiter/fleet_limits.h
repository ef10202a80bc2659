// The team limits of a run: basilhall/limit on every host, with a limiter each, and a single
// central bucket to tell wrongful refusals by.
#pragma once

#include "basilhall/limit/grant_cache.h"
#include "basilhall/limit/limiter.h"
#include "bench/limiter/timeline.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace basilhall::bench
{

class FleetLimits
{
public:
    // Told of the refusal, or of nothing if the call is admitted.
    using Done = std::function<void(std::optional<Error>)>;

    // `oneWay` is the delay between two hosts; a team's limit has at most `maxSlices` slices.
    FleetLimits(Timeline &timeline, std::uint32_t hosts, Duration oneWay, std::uint32_t maxSlices,
                const limit::LimitTimes &times);

    void addTeam(const TeamName &team, const limit::Rate &rate);
    void admit(std::uint32_t host, const TeamName &team, Done done);
    // Forgets idle teams on every host.
    void forgetIdle();

    // The host's limiter is gone, its cache too; another limiter takes its slices over after
    // `successorWait`.
    void loseHost(std::uint32_t host);

    std::uint64_t messages() const { return m_messages; }
    std::uint64_t admitted() const { return m_admitted; }
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t wrongfullyRefused() const { return m_wrongful; }
    // Requests that one central bucket for each team would have admitted beyond those that were.
    std::uint64_t shortfall() const;
    // Requests by which some window exceeded its team's limit; 0 if none did.
    double worstExcess() const { return m_worstExcess; }
    std::size_t cachedTeams() const;

private:
    struct Team {
        limit::Rate rate;
        // What one central bucket would do.
        limit::Bucket central;
        // Checks every window: below -1e-6 the limit was exceeded in some window.
        double level = 0;
        Instant levelAt;
        std::vector<std::uint32_t> limiterOfSlice;
        std::uint64_t admitted = 0;
        std::uint64_t centrallyAdmitted = 0;
    };

    struct Waiting {
        Done done;
        // A central bucket would have admitted the call when it came.
        bool isInsideRate = false;
    };

    bool isInsideRate(Team &team);
    void act(std::uint32_t host, const TeamName &team, const limit::GrantActions &actions);
    void conclude(const TeamName &team, const limit::Verdict &verdict);
    void ask(std::uint32_t host, const limit::GrantRequest &ask);
    void checkWindows(Team &team);

    Timeline &m_timeline;
    Duration m_oneWay;
    std::uint32_t m_maxSlices;
    limit::LimitTimes m_times;
    std::vector<limit::GrantCache> m_caches;
    std::vector<limit::Limiter> m_limiters;
    std::vector<bool> m_isLost;
    std::unordered_map<TeamName, Team> m_teams;
    std::unordered_map<limit::Ticket, Waiting> m_waiting;
    limit::Ticket m_lastTicket = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_wrongful = 0;
    double m_worstExcess = 0;
};

} // namespace basilhall::bench
