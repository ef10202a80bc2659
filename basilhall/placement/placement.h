// Chooses the endpoint that most likely ends a request first.
//
// Engines: the time to read what is not cached there, the slowdown by what runs, and the wait for a
// slot. Plain services: the wait for a slot. Load is counted from what all gateways have sent,
// which is fresher than what endpoints report.
//
//     Placement placement(domain);
//     placement.setEndpoint(endpoint, service.engine);
//     if (const fleet::Endpoint *chosen = placement.choose(work, {}, randomBits, now)) {
//         placement.onSent(chosen->name, work);
//     }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/fleet/service.h"
#include "basilhall/placement/prefix_cache.h"
#include "basilhall/placement/work.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace basilhall::placement
{

// Not thread-safe.
class Placement
{
public:
    // `domain` is the failure domain of the gateway itself.
    explicit Placement(FailureDomain domain);

    // Adds or changes an endpoint; a later start under the same name forgets its cache.
    void setEndpoint(const fleet::Endpoint &endpoint,
                     const std::optional<fleet::EngineTraits> &engine);
    void removeEndpoint(const EndpointName &name);
    // The endpoint gets nothing until then.
    void suspend(const EndpointName &name, Instant until);

    // Returns the best endpoint that takes work and is not among `excluded`; nullptr if none is.
    const fleet::Endpoint *choose(const Work &work, const std::set<EndpointName> &excluded,
                                  std::uint64_t randomBits, Instant now) const;
    // Requests that the endpoints of a service have, and slots of those that take work.
    struct Occupancy {
        std::uint64_t requests = 0;
        std::uint64_t slots = 0;

        auto operator<=>(const Occupancy &) const = default;
    };
    Occupancy occupancy(const std::string &service, Instant now) const;

    void onSent(const EndpointName &name, const Work &work);
    void onFinished(const EndpointName &name, const Work &work);

    // What another gateway has at an endpoint now, and what it sent there.
    void onPeerLoad(const Incarnation &peer, const EndpointName &name, Load load);
    void onPeerUse(const PromptUse &use);
    void onPeerGone(const Incarnation &peer);
    // Returns the own load of every endpoint whose load changed since the last call.
    std::vector<std::pair<EndpointName, Load>> takeLoadChanges();
    // Returns the prompts sent since the last call.
    std::vector<PromptUse> takeUses();

private:
    struct State {
        fleet::Endpoint endpoint;
        std::optional<fleet::EngineTraits> engine;
        PrefixCache cache{0};
        Load own;
        std::map<Incarnation, Load> peers;
        Instant suspendedUntil = Instant::min();
        bool hasNews = false;

        Load total() const;
    };

    double cost(const State &state, const Work &work) const;
    static bool takesWork(const State &state, Instant now);
    void noteLoad(State &state);

    FailureDomain m_domain;
    std::unordered_map<EndpointName, State> m_states;
    std::unordered_map<std::string, std::vector<EndpointName>> m_byService;
    std::vector<EndpointName> m_loadNews;
    std::vector<PromptUse> m_uses;
};

} // namespace basilhall::placement
