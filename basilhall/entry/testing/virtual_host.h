// An entry host in virtual time: the real journal, ownership and owner with a faulty network.
#pragma once

#include "basilhall/entry/shard_driver.h"
#include "basilhall/entry/store_pump.h"
#include "basilhall/entry/testing/faulty_objects.h"
#include "basilhall/entry/testing/virtual_agent.h"
#include "basilhall/entry/testing/virtual_time.h"
#include "basilhall/owner/owner.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basilhall::testing
{

// Network faults between owners and agents, as messages per thousand.
struct NetworkFaults {
    unsigned brokenDispatches = 0;
    unsigned duplicates = 0;
    unsigned lostResolves = 0;
};

class VirtualHost
{
public:
    using ResultHandler = std::function<void(const Result<wire::CallFinished> &)>;

    VirtualHost(VirtualTime &time, FaultyObjects &objects, NetworkFaults &faults,
                std::map<Address, VirtualAgent *> agents, manifest::ManifestPtr manifest,
                std::size_t number)
        : m_time(time)
        , m_objects(objects)
        , m_faults(faults)
        , m_agents(std::move(agents))
        , m_manifest(std::move(manifest))
        , m_name("entry-" + std::to_string(number))
        , m_address{"10.0.0." + std::to_string(number + 1), 1}
    {
        restart();
        tick();
    }

    const HostName &name() const { return m_name; }
    const Address &address() const { return m_address; }
    const Incarnation &incarnation() const { return m_state->self; }
    std::uint64_t run() const { return m_run; }
    bool isPaused() const { return m_isPaused; }
    bool isDown() const { return m_isDown; }
    owner::Owner &owner() { return m_state->owner; }
    std::vector<entry::ShardOwner> owners() const { return m_state->shards.owners(); }

    void crash()
    {
        ++m_run;
        m_isDown = true;
        m_isPaused = false;
        m_inbox.clear();
        m_resultHandlers.clear();
    }
    void restart()
    {
        crash();
        m_isDown = false;
        m_state = std::make_unique<ProcessState>(*this);
    }
    void pause() { m_isPaused = true; }
    void resume()
    {
        m_isPaused = false;
        for (const auto &event : std::exchange(m_inbox, {})) {
            event();
        }
    }

    void setHosts(const std::vector<membership::EntryHost> &hosts, bool leaving)
    {
        deliver([this, hosts, leaving] { m_state->shards.setHosts(hosts, leaving); });
    }
    bool hasHandedOver() const { return m_state->shards.hasHandedOver(); }

    void call(owner::CallTicket ticket, const wire::CallRequest &request,
              ResultHandler resultHandler)
    {
        deliver([this, ticket, request, resultHandler = std::move(resultHandler)] {
            m_resultHandlers.emplace(ticket, resultHandler);
            m_state->owner.callArrived(ticket, request, m_time.now());
            pump();
        });
    }

private:
    // The state of one run of the process.
    struct ProcessState {
        explicit ProcessState(VirtualHost &host)
            : self(host.m_name.value() + "-" + std::to_string(host.m_run))
            , pump(
                  [&host](store::Request request, store::OutcomeHandler handler) {
                      host.execute(std::move(request), std::move(handler));
                  },
                  [&host] { return host.m_time.now(); }, [] {})
            , writer(std::make_shared<journal::Writer>(self, ids, journal::WriterOptions()))
            , limiter(limit::LimitTimes())
            , owner(
                  *writer,
                  [&host](const owner::CallNeeds &needs, Instant) { return host.choose(needs); },
                  self, owner::OwnerOptions())
            , shards(host.m_name, host.m_address, writer, owner, limiter, pump, ids,
                     [](const entry::ShardReport &) {})
        {
            owner.setManifest(host.m_manifest);
            shards.setManifest(host.m_manifest, host.m_time.now());
        }

        Incarnation self;
        store::OperationIdSource ids;
        entry::StorePump pump;
        std::shared_ptr<journal::Writer> writer;
        limit::Limiter limiter;
        owner::Owner owner;
        entry::ShardDriver shards;
    };

    // Runs an external event now, or after the pause if the host is paused. Drops it if the host is
    // down.
    void deliver(std::function<void()> event)
    {
        if (m_isDown) {
            return;
        }
        if (m_isPaused) {
            m_inbox.push_back(std::move(event));
            return;
        }
        event();
    }

    // Like deliver(), but drops the event unless `run` is still the current run of the process.
    void deliverTo(std::uint64_t run, std::function<void()> event)
    {
        if (run == m_run) {
            deliver(std::move(event));
        }
    }

    void tick()
    {
        if (!m_isDown && !m_isPaused) {
            const Instant now = m_time.now();
            m_state->owner.advance(now);
            m_state->shards.advance(now);
            pump();
            if (m_state->shards.isSuperseded() && m_time.chance(20)) {
                restart();
            }
        }
        m_time.after(std::chrono::milliseconds(5), [this] { tick(); });
    }

    void execute(store::Request request, store::OutcomeHandler handler)
    {
        const std::uint64_t run = m_run;
        m_objects.execute(std::move(request),
                          [this, run, handler = std::move(handler)](const store::Outcome &outcome) {
                              deliverTo(run, [handler, outcome] { handler(outcome); });
                          });
    }

    Result<owner::EndpointChoice> choose(const owner::CallNeeds &needs)
    {
        const auto endpoints = m_manifest->endpointsServing(needs.serves);
        const manifest::Endpoint &endpoint = *endpoints[m_time.random(endpoints.size())];
        return owner::EndpointChoice{endpoint.name, endpoint.agent,
                                     m_agents.at(endpoint.agent)->incarnation()};
    }

    void pump()
    {
        for (owner::Action &action : m_state->owner.takeActions()) {
            if (const auto *dispatch = std::get_if<owner::DispatchCall>(&action)) {
                send(*dispatch);
            } else if (const auto *resolve = std::get_if<owner::ResolveCall>(&action)) {
                ask(*resolve);
            } else if (auto *finished = std::get_if<owner::ReplyFinished>(&action)) {
                deliverResult(finished->ticket, finished->finished);
            } else if (auto *error = std::get_if<owner::ReplyError>(&action)) {
                deliverResult(error->ticket, error->error);
            }
        }
    }

    void send(const owner::DispatchCall &dispatch)
    {
        VirtualAgent *const agent = m_agents.at(dispatch.agent);
        const wire::DispatchRequest request = dispatch.request;
        if (m_time.chance(m_faults.duplicates)) {
            // A stream carries its request once, so a duplicate can only arrive after it.
            m_time.after(m_time.randomMillis(6, 3000), [agent, request] {
                agent->dispatchArrived(request, [](const Result<wire::Answer> &) {});
            });
        }
        if (m_time.chance(m_faults.brokenDispatches)) {
            endDispatch(request.call_id(), Error(ErrorKind::ConnectionLost, "broken"));
            if (m_time.chance(500)) {
                m_time.after(m_time.randomMillis(1, 3000), [agent, request] {
                    agent->dispatchArrived(request, [](const Result<wire::Answer> &) {});
                });
            }
            return;
        }
        const std::uint64_t run = m_run;
        const std::uint64_t agentRun = agent->run();
        m_time.after(m_time.randomMillis(1, 5), [this, agent, request, run, agentRun] {
            if (agentRun != agent->run()) {
                endDispatch(request.call_id(), Error(ErrorKind::ConnectionLost, "restarted"), run);
                return;
            }
            agent->dispatchArrived(request,
                                   [this, request, run](const Result<wire::Answer> &result) {
                                       endDispatch(request.call_id(), result, run);
                                   });
            watchAgent(agent, agentRun, request.call_id(), run);
        });
    }

    // A connection to an agent breaks when the agent restarts.
    void watchAgent(VirtualAgent *agent, std::uint64_t agentRun, const std::string &dispatchId,
                    std::uint64_t run)
    {
        m_time.after(std::chrono::milliseconds(500), [=, this] {
            if (agentRun != agent->run()) {
                endDispatch(dispatchId, Error(ErrorKind::ConnectionLost, "restarted"), run);
            }
        });
    }

    void endDispatch(const std::string &dispatchId, const Result<wire::Answer> &result)
    {
        endDispatch(dispatchId, result, m_run);
    }

    void endDispatch(const std::string &dispatchId, const Result<wire::Answer> &result,
                     std::uint64_t run)
    {
        m_time.after(m_time.randomMillis(1, 5), [this, run, dispatchId, result] {
            deliverTo(run, [this, dispatchId, result] {
                m_state->owner.dispatchEnded(dispatchId, result, m_time.now());
                pump();
            });
        });
    }

    void ask(const owner::ResolveCall &resolve)
    {
        VirtualAgent *const agent = m_agents.at(resolve.agent);
        const std::uint64_t run = m_run;
        m_time.after(m_time.randomMillis(1, 10), [this, agent, run, request = resolve.request] {
            Result<wire::ResolveReply> reply = agent->resolve(request);
            if (m_time.chance(m_faults.lostResolves)) {
                reply = Error(ErrorKind::ConnectionLost, "lost");
            }
            deliverTo(run, [this, request, reply] {
                m_state->owner.resolved(request.call_id(), reply, m_time.now());
                pump();
            });
        });
    }

    void deliverResult(owner::CallTicket ticket, const Result<wire::CallFinished> &callResult)
    {
        const auto found = m_resultHandlers.extract(ticket);
        if (found) {
            m_time.after(m_time.randomMillis(1, 3),
                         [handler = found.mapped(), callResult] { handler(callResult); });
        }
    }

    VirtualTime &m_time;
    FaultyObjects &m_objects;
    NetworkFaults &m_faults;
    const std::map<Address, VirtualAgent *> m_agents;
    const manifest::ManifestPtr m_manifest;
    const HostName m_name;
    const Address m_address;
    std::uint64_t m_run = 0;
    bool m_isPaused = false;
    bool m_isDown = false;
    std::vector<std::function<void()>> m_inbox;
    std::map<owner::CallTicket, ResultHandler> m_resultHandlers;
    std::unique_ptr<ProcessState> m_state;
};

} // namespace basilhall::testing
