// Chooses the endpoint that is expected to finish a request first.
//
// The expected time at an engine is the prefill time of the prompt tokens that are not cached
// there, the slowdown by running requests and the wait for a slot; at a plain service it is the
// wait for a slot. Load is counted from the requests that all gateways have sent, because this is
// more recent than what endpoints report. Endpoints of the gateway's own failure domain are
// preferred if it has many: their load is known best, and fewer connections are needed. An
// endpoint that has been slower than others lately is expected to take longer. An endpoint that
// states a request limit, or may be cold, is chosen only if this gateway may send it one more
// request. The rest of a stream goes only to endpoints of the version that began it, and a request
// with allowed regions only to endpoints of their failure domains.
//
//     Placement placement(domain);
//     placement.setEndpoint(endpoint, service.engine);
//     const Placement::Choice choice = placement.choose(work, {}, randomBits, now);
//     if (const fleet::Endpoint *chosen = choice.endpoint) {
//         const SendConditions conditions = placement.onSent(chosen->name, work, now);
//         ...
//         placement.onAnswered(chosen->name, conditions, timing, now);
//     }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/fleet/service.h"
#include "basilhall/placement/endpoint_limits.h"
#include "basilhall/placement/endpoint_pace.h"
#include "basilhall/placement/engine_model.h"
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
    // `domain` is the failure domain of this gateway.
    explicit Placement(FailureDomain domain);

    // Adds or changes an endpoint. A new `startedAt` under the same name clears its cache estimate.
    void setEndpoint(const fleet::Endpoint &endpoint,
                     const std::optional<fleet::EngineTraits> &engine);
    void removeEndpoint(const EndpointName &name);
    // The endpoint gets no requests before `until`.
    void suspend(const EndpointName &name, Instant until);
    // True if the process that started at `startedAt` is known and does not leave.
    bool isServing(const EndpointName &name, WallMillis startedAt) const;
    // The endpoint leaves, but until `until` the rest of a stream may go to it if no other endpoint
    // of its version is left.
    void letContinue(const EndpointName &name, Instant until);

    // The endpoints of these domains get neither new work nor the rest of streams. Without a value,
    // it is not known which domains are evacuated, and no endpoint gets anything.
    void setEvacuated(std::optional<std::set<FailureDomain>> domains);
    bool isEvacuated(const FailureDomain &domain) const
    {
        return !m_evacuated || m_evacuated->contains(domain);
    }
    // True if there are endpoints that could run the work, and the domains of all are evacuated.
    bool isEvacuated(const Work &work) const;

    EndpointLimits &limits() { return m_limits; }
    // See EndpointLimits::setColdTolerance().
    void setColdTolerance(double overshoot, double tolerance)
    {
        m_limits.setColdTolerance(overshoot, tolerance);
    }
    // The evacuation of the domain ended: its endpoints may be cold.
    void endEvacuation(const FailureDomain &domain, Instant now);

    // An endpoint, and the time until its limit lets it get one more request.
    struct Choice {
        const fleet::Endpoint *endpoint = nullptr;
        Duration wait{};
        // The endpoint is treated as cold.
        bool isCold = false;
        // An endpoint that would finish the request clearly sooner if this gateway's share of its
        // limit held one more request.
        const fleet::Endpoint *lacking = nullptr;

        auto operator<=>(const Choice &) const = default;
    };
    // What the request has to wait for before an endpoint with a limit can get it.
    struct Queueing {
        // Time that the requests before it need.
        Duration ahead{};
        // Time that it may wait.
        Duration most = Duration::max();

        auto operator<=>(const Queueing &) const = default;
    };
    // Returns the endpoint of lowest cost, including the wait for its limit, that accepts work and
    // is not in `excluded`; none if there is no such endpoint. One for which the request would wait
    // too long is chosen only if there is no other, and one that leaves only for the rest of a
    // stream that its version began.
    Choice choose(const Work &work, const std::set<EndpointName> &excluded,
                  std::uint64_t randomBits, Instant now, const Queueing &queueing) const;
    // For a request that does not wait.
    Choice choose(const Work &work, const std::set<EndpointName> &excluded,
                  std::uint64_t randomBits, Instant now) const
    {
        return choose(work, excluded, randomBits, now, Queueing());
    }
    // Requests a second that this gateway may send to the endpoints of the service that state a
    // limit.
    double limitedRate(const std::string &service, Instant now) const;
    // Returns the requests a second that this gateway can send to each service some of whose
    // endpoints state a limit: what the limits let it send, and its part of what the others can
    // run.
    std::map<std::string, double> carriedRates(Instant now) const;
    // Requests and slots of the endpoints of a service that accept work. An endpoint with a limit
    // counts with the slots that the limit can fill.
    struct Occupancy {
        std::uint64_t requests = 0;
        std::uint64_t slots = 0;

        auto operator<=>(const Occupancy &) const = default;
    };
    Occupancy occupancy(const std::string &service, Instant now) const;
    // See EngineModel::stretch(); 1 for plain services.
    double stretch(const std::string &service) const;

    // Counts the request against the limit of the endpoint. Returns the conditions for
    // onAnswered().
    SendConditions onSent(const EndpointName &name, const Work &work, Instant now);
    // A complete answer arrived. Call it besides onFinished().
    void onAnswered(const EndpointName &name, const SendConditions &conditions,
                    const AnswerTiming &timing, Instant now);
    // The endpoint did not complete a request that it may have run. Call it besides onFinished().
    // `isLost` if a connection to it was refused or broke.
    void onFailed(const EndpointName &name, Instant now, bool isLost = false);
    void onFinished(const EndpointName &name, const Work &work);

    // Another gateway's current load at an endpoint, and a prompt that it sent there.
    void onPeerLoad(const Incarnation &peer, const EndpointName &name, Load load);
    void onPeerUse(const PromptUse &use);
    void onPeerPace(const EndpointName &name, const PaceSample &sample, Instant now);
    void onPeerLost(const Incarnation &peer);
    // This gateway's load at an endpoint, and how it answered since the last report.
    struct EndpointReport {
        EndpointName endpoint;
        Load load;
        PaceSample pace;
        SendCounts sends;

        auto operator<=>(const EndpointReport &) const = default;
    };
    // Returns a report on every endpoint where the load changed since the last call.
    std::vector<EndpointReport> takeLoadChanges();
    // Returns the prompts that this gateway sent since the last call.
    std::vector<PromptUse> takeUses();

private:
    struct State {
        fleet::Endpoint endpoint;
        std::optional<fleet::EngineTraits> engine;
        PrefixCache cache{0};
        Load localLoad;
        std::map<Incarnation, Load> peerLoads;
        // Sum of `peerLoads`.
        Load peerSum;
        EndpointPace pace;
        // Not sent to the peers yet.
        PaceSample pendingPace;
        Instant suspendedUntil = Instant::min();
        // While it leaves; see letContinue().
        Instant continuesUntil = Instant::min();
        bool hasLoadChange = false;
        bool isEvacuated = false;

        Load totalLoad() const;
        void setPeerLoad(const Incarnation &peer, Load load);
    };

    double cost(const State &state, const Work &work, double remoteMs, Instant now) const;
    // Cost, in ms, of an endpoint in another failure domain than that of this gateway.
    double remoteCostMs(const std::vector<EndpointName> &names, Instant now) const;
    const EngineModel &modelOf(const State &state) const;
    // Requests a second that an endpoint without a limit can run.
    double capacity(const State &state) const;
    void addPace(State &state, double ratio, Instant now);
    static bool acceptsWork(const State &state, Instant now);
    static bool acceptsRest(const State &state, Instant now);
    // Chooses among the endpoints for which `accepts` returns true.
    Choice chooseAmong(bool (*accepts)(const State &, Instant), const Work &work,
                       const std::set<EndpointName> &excluded, std::uint64_t randomBits,
                       Instant now, const Queueing &queueing) const;
    // Requests that the endpoint can run at once, given its limit.
    std::uint64_t usableSlots(const State &state, Instant now) const;
    void markLoadChanged(State &state);

    FailureDomain m_domain;
    std::optional<std::set<FailureDomain>> m_evacuated = std::set<FailureDomain>();
    EndpointLimits m_limits;
    std::unordered_map<EndpointName, State> m_states;
    std::unordered_map<std::string, std::vector<EndpointName>> m_byService;
    // By service.
    std::unordered_map<std::string, EngineModel> m_models;
    std::vector<EndpointName> m_changedLoads;
    std::vector<PromptUse> m_promptUses;
};

} // namespace basilhall::placement
