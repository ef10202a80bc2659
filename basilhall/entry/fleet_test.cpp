// Checks the guarantees about programs in seeded runs of several hosts and agents in virtual time,
// with crashes, pauses, restarts, outages and lost messages.
#include "basilhall/entry/testing/virtual_caller.h"
#include "basilhall/entry/testing/virtual_host.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace basilhall;
using namespace basilhall::testing;

namespace
{

constexpr std::uint32_t kShardCount = 4;
constexpr std::uint64_t kBudget = 600;
constexpr int kCallsPerProgram = 14;
constexpr int kPrograms = 8;
constexpr Duration kFaultPeriod = std::chrono::seconds(60);
constexpr Duration kSettlingPeriod = std::chrono::seconds(60);
constexpr Duration kMaxRunTime = std::chrono::minutes(30);
const Instant kStart{std::chrono::hours(1)};

struct Mutation {
    bool objectsIgnoreConditions = false;
    bool agentsRunAnyIncarnation = false;
};

manifest::ManifestPtr fleetManifest(const std::vector<Address> &agents)
{
    manifest::Content content;
    content.shardCount = kShardCount;
    manifest::Team team;
    team.name = TeamName("haulers");
    team.requestsPerSecond = 1000;
    team.burst = 1000;
    team.programBudgetTokens = kBudget;
    content.teams.emplace(team.name, team);
    manifest::Model model;
    model.name = ModelName("m");
    model.maxContextTokens = 100'000;
    model.maxCompletionTokens = 100;
    content.models.emplace(model.name, model);
    manifest::Route route;
    route.name = "dispatch";
    content.routes.emplace(route.name, route);
    for (std::size_t i = 0; i < agents.size(); ++i) {
        manifest::Endpoint endpoint;
        endpoint.name = EndpointName("e" + std::to_string(i));
        endpoint.agent = agents[i];
        endpoint.serves = {"m", "dispatch"};
        content.endpoints.emplace(endpoint.name, endpoint);
    }
    return manifest::Manifest::make(1, std::move(content));
}

class Fleet
{
public:
    Fleet(std::uint64_t seed, const Mutation &mutation)
        : m_time(seed)
        , m_objects(m_time)
    {
        m_objects.ignoresConditions = mutation.objectsIgnoreConditions;
        std::map<Address, VirtualAgent *> byAddress;
        std::vector<Address> addresses;
        for (int i = 0; i < 3; ++i) {
            const Address address{"10.0.1." + std::to_string(i + 1), 1};
            m_agents.push_back(std::make_unique<VirtualAgent>(m_time, m_executions));
            m_agents.back()->runsAnyIncarnation = mutation.agentsRunAnyIncarnation;
            byAddress.emplace(address, m_agents.back().get());
            addresses.push_back(address);
        }
        const auto manifest = fleetManifest(addresses);
        for (std::size_t i = 0; i < 3; ++i) {
            m_hosts.push_back(
                std::make_unique<VirtualHost>(m_time, m_objects, m_faults, byAddress, manifest, i));
        }
        for (int i = 0; i < kPrograms; ++i) {
            m_callers.push_back(
                std::make_unique<VirtualCaller>(m_time, m_hosts, m_executions, kShardCount,
                                                "p" + std::to_string(i), kCallsPerProgram));
        }
        updateHostViews();
        scheduleFault();
    }

    // Runs with faults, then without, until every caller is done. Returns the violations found.
    std::vector<std::string> run()
    {
        setFaults(true);
        while (m_time.now() < kStart + kFaultPeriod && m_time.step()) { }
        setFaults(false);
        while (!isDone() && m_time.now() < kStart + kMaxRunTime && m_time.step()) { }
        // Give an owner that was superseded while paused time to detect it.
        const Instant end = m_time.now() + kSettlingPeriod;
        while (m_time.now() < end && m_time.step()) { }
        return violations();
    }

private:
    void setFaults(bool isFaulty)
    {
        m_isFaulty = isFaulty;
        m_objects.isDown = false;
        m_objects.lostAnswers = isFaulty ? 30 : 0;
        m_objects.failures = isFaulty ? 20 : 0;
        m_faults = isFaulty ? NetworkFaults{60, 60, 200} : NetworkFaults{};
        if (!isFaulty) {
            for (const auto &host : m_hosts) {
                host->isDown() ? host->restart() : host->resume();
            }
        }
    }

    // Injects a random fault after a random delay, and repeats while faults are enabled.
    void scheduleFault()
    {
        m_time.after(m_time.randomMillis(200, 2500), [this] {
            if (!m_isFaulty) {
                return;
            }
            VirtualHost &host = *m_hosts[m_time.random(m_hosts.size())];
            switch (m_time.random(5)) {
            case 0:
                host.crash();
                m_time.after(m_time.randomMillis(100, 8000), [&host] {
                    if (host.isDown()) {
                        host.restart();
                    }
                });
                break;
            case 1:
                host.pause();
                m_time.after(m_time.randomMillis(100, 15'000), [&host] { host.resume(); });
                break;
            case 2:
                m_agents[m_time.random(m_agents.size())]->restart();
                break;
            case 3:
                m_objects.isDown = true;
                m_time.after(m_time.randomMillis(100, 6000), [this] { m_objects.isDown = false; });
                break;
            default:
                m_wronglySuspected = m_time.random(m_hosts.size());
                break;
            }
            scheduleFault();
        });
    }

    // Gives the hosts a delayed and sometimes wrong view of the fleet.
    void updateHostViews()
    {
        std::vector<membership::EntryHost> all;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            const VirtualHost &host = *m_hosts[i];
            const bool isSilent = host.isDown() || host.isPaused();
            m_silentRounds[i] = isSilent ? m_silentRounds[i] + 1 : 0;
            const bool isDead = m_silentRounds[i] > 5 || m_wronglySuspected == i;
            all.push_back({host.name(), host.incarnation(), host.address(),
                           isDead ? membership::HostState::Dead : membership::HostState::Live});
        }
        m_wronglySuspected = m_hosts.size();
        for (const auto &host : m_hosts) {
            std::vector<membership::EntryHost> others;
            std::copy_if(all.begin(), all.end(), std::back_inserter(others),
                         [&host](const auto &other) { return other.host != host->name(); });
            host->setHosts(others, false);
        }
        m_time.after(std::chrono::milliseconds(300), [this] { updateHostViews(); });
    }

    bool isDone() const
    {
        return areShardsServed()
            && std::all_of(m_callers.begin(), m_callers.end(),
                           [](const auto &caller) { return caller->isDone(); });
    }

    bool areShardsServed() const
    {
        for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
            if (std::none_of(m_hosts.begin(), m_hosts.end(),
                             [shard](const auto &host) { return host->owner().owns(shard); })) {
                return false;
            }
        }
        return true;
    }

    std::vector<std::string> violations()
    {
        std::vector<std::string> found;
        for (const auto &[key, count] : m_executions.services) {
            if (count > 1) {
                found.push_back(key + " ran " + std::to_string(count) + " times");
            }
        }
        for (const auto &[program, tokens] : m_executions.tokens) {
            if (tokens > kBudget) {
                found.push_back(program + " spent " + std::to_string(tokens) + " tokens");
            }
        }
        for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
            const auto owners =
                std::count_if(m_hosts.begin(), m_hosts.end(),
                              [shard](const auto &host) { return host->owner().owns(shard); });
            if (owners != 1) {
                found.push_back("shard " + std::to_string(shard) + " has " + std::to_string(owners)
                                + " owners");
            }
        }
        for (const auto &caller : m_callers) {
            found.insert(found.end(), caller->violations().begin(), caller->violations().end());
            if (!caller->isDone()) {
                found.push_back(caller->program() + " did not finish");
            }
            for (const std::string &key : caller->abandonedKeys()) {
                if (m_executions.services.contains(key)) {
                    found.push_back("reported as not run, but ran later: " + key);
                }
            }
            checkHistory(*caller, found);
        }
        return found;
    }

    void checkHistory(const VirtualCaller &caller, std::vector<std::string> &found)
    {
        const ProgramId id(caller.program());
        const program::Program *program = nullptr;
        for (const auto &host : m_hosts) {
            if (host->owner().owns(ownership::shardOf(id, kShardCount))) {
                program = host->owner().programs().find(id);
            }
        }
        if (program == nullptr) {
            if (!caller.receivedTurns().empty()) {
                found.push_back(caller.program() + " is lost");
            }
            return;
        }
        for (const auto &[turn, callId] : caller.receivedTurns()) {
            const bool isKept =
                turn <= program->turns().size() && program->turns()[turn - 1].call_id() == callId;
            if (!isKept) {
                found.push_back("turn " + std::to_string(turn) + " of " + caller.program()
                                + " is not " + callId);
            }
        }
        int last = 0;
        for (const journal::TurnSettled &turn : program->turns()) {
            const int number = std::stoi(turn.call_id().substr(1));
            if (number <= last) {
                found.push_back(caller.program() + " has calls out of order");
            }
            last = number;
        }
    }

    VirtualTime m_time;
    FaultyObjects m_objects;
    NetworkFaults m_faults;
    Executions m_executions;
    std::vector<std::unique_ptr<VirtualAgent>> m_agents;
    std::vector<std::unique_ptr<VirtualHost>> m_hosts;
    std::vector<std::unique_ptr<VirtualCaller>> m_callers;
    std::map<std::size_t, int> m_silentRounds;
    std::size_t m_wronglySuspected = 99;
    bool m_isFaulty = true;
};

std::size_t seedsWithViolations(std::uint64_t seeds, const Mutation &mutation)
{
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        count += Fleet(seed, mutation).run().empty() ? 0 : 1;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(guaranteesHoldUnderFaults)
{
    constexpr std::uint64_t kSeeds = 60;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        for (const std::string &violation : Fleet(seed, {}).run()) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
    }
}

BOOST_AUTO_TEST_CASE(violationsAreFoundWithoutConditionalCreate)
{
    Mutation mutation;
    mutation.objectsIgnoreConditions = true;
    BOOST_TEST(seedsWithViolations(20, mutation) > 0);
}

BOOST_AUTO_TEST_CASE(violationsAreFoundWithoutTheIncarnationCheck)
{
    Mutation mutation;
    mutation.agentsRunAnyIncarnation = true;
    BOOST_TEST(seedsWithViolations(20, mutation) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
