// Simulates several hosts in one process under virtual time, with lost and delayed answers,
// duplicate requests, wrong host states, pauses longer than any timeout, crashes and restarts.
// Checks that no successor misses a durable record. A failure prints its seed; run that seed alone
// to reproduce it.

#include "basilhall/ownership/testing/sim_process.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <set>

using namespace basilhall;
using namespace basilhall::ownership;
using namespace basilhall::ownership::testing;
using membership::EntryHost;
using membership::HostState;

namespace
{

constexpr std::uint32_t kShards = 4;
constexpr std::size_t kHosts = 3;
constexpr int kSteps = 4000;
constexpr int kMaxConvergenceSteps = 40000;
constexpr std::uint64_t kSeedsWithoutMutation = 300;
constexpr std::uint64_t kMaxSeedsPerMutation = 150;

struct Activation {
    std::uint64_t epoch;
    std::set<std::uint64_t> numbers;
};

struct DurableRecord {
    std::uint64_t epoch;
    std::uint64_t number;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, Mutation mutation)
        : m_random(seed)
        , m_mutation(mutation)
        , m_network(m_random, mutation,
                    [this](std::uint64_t run, store::OperationId id,
                           const store::Outcome &outcome) { deliver(run, id, outcome); })
    {
        m_observer.activated = [this](ShardId shard, std::uint64_t epoch, const Chain &chain,
                                      bool isLinked) { activated(shard, epoch, chain, isLinked); };
        m_observer.durable = [this](ShardId shard, std::uint64_t epoch, std::uint64_t number) {
            durable(shard, epoch, number);
        };
        m_observer.failed = [this](ShardId shard, std::uint64_t epoch, const std::string &message) {
            failed(shard, epoch, message);
        };
        for (std::size_t i = 0; i < kHosts; ++i) {
            m_processes.push_back(nullptr);
            m_paused.push_back(false);
            restart(i);
        }
    }

    // Returns a description of the first violation, if there was one.
    std::optional<std::string> run()
    {
        for (int i = 0; i < kSteps && !m_violation; ++i) {
            runRandomStep();
        }
        runWithoutFaults();
        return m_violation;
    }

    std::size_t durableCount() const { return m_durableCount; }
    std::size_t takeovers() const { return m_takeovers; }

private:
    bool chance(unsigned perMille) { return m_random() % 1000 < perMille; }
    std::size_t pickHost() { return m_random() % kHosts; }

    void recordViolation(const std::string &message)
    {
        if (!m_violation) {
            m_violation = message;
        }
    }

    void restart(std::size_t index)
    {
        m_processes[index] =
            std::make_unique<SimProcess>(HostName("entry-" + std::to_string(index)), ++m_lastRun,
                                         kShards, m_mutation, m_observer);
        m_paused[index] = false;
    }

    void deliver(std::uint64_t run, store::OperationId id, const store::Outcome &outcome)
    {
        for (std::size_t i = 0; i < kHosts; ++i) {
            if (m_processes[i]->run() == run) {
                m_processes[i]->onOutcome(id, outcome, m_now);
            }
        }
    }

    void advance(std::size_t index)
    {
        if (m_paused[index]) {
            return;
        }
        if (m_processes[index]->isSuperseded()) {
            restart(index);
        }
        for (store::Operation &operation : m_processes[index]->advance(m_now)) {
            m_network.send(m_processes[index]->run(), std::move(operation));
        }
    }

    // Gives a host random states of the other hosts.
    void setRandomHostStates(std::size_t index)
    {
        std::vector<EntryHost> hosts;
        for (std::size_t other = 0; other < kHosts; ++other) {
            const auto roll = m_random() % 10;
            const HostState state = roll < 6 ? HostState::Live
                : roll < 7                   ? HostState::Suspect
                : roll < 9                   ? HostState::Dead
                                             : HostState::Leaving;
            if (other != index) {
                hosts.push_back(m_processes[other]->entry(state));
            }
        }
        m_processes[index]->setHosts(hosts, false);
        m_processes[index]->refresh();
    }

    void runRandomStep()
    {
        m_now += std::chrono::milliseconds(m_random() % 20);
        m_network.step(true);
        const std::size_t index = pickHost();
        advance(index);
        if (chance(2)) {
            restart(pickHost());
        }
        if (chance(5)) {
            m_paused[index] = !m_paused[index];
            m_now += std::chrono::seconds(m_random() % 60);
        }
        if (m_paused[index]) {
            return;
        }
        if (chance(200)) {
            m_processes[index]->append(m_random(), ++m_lastNumber, m_now);
        }
        if (chance(10)) {
            m_processes[index]->handOver(m_random());
        }
        if (chance(10)) {
            m_processes[index]->checkpoint(m_random());
        }
        if (chance(15)) {
            setRandomHostStates(index);
        }
    }

    // Stops all faults and runs until every shard is served by one host and no work is pending.
    void runWithoutFaults()
    {
        m_paused.assign(kHosts, false);
        for (int i = 0; i < kMaxConvergenceSteps && !m_violation; ++i) {
            m_now += std::chrono::milliseconds(20);
            m_network.step(false);
            advance(i % kHosts);
            if (i % 500 == 0) {
                setActualHostStates();
            }
            if (i % 100 == 99 && hasConverged()) {
                return;
            }
        }
        recordViolation("the hosts did not converge after the faults had stopped");
    }

    void setActualHostStates()
    {
        for (std::size_t index = 0; index < kHosts; ++index) {
            std::vector<EntryHost> hosts;
            for (std::size_t other = 0; other < kHosts; ++other) {
                if (other != index) {
                    hosts.push_back(m_processes[other]->entry(HostState::Live));
                }
            }
            m_processes[index]->setHosts(hosts, false);
            m_processes[index]->refresh();
            m_processes[index]->rebalance();
        }
    }

    bool hasConverged() const
    {
        std::multiset<ShardId> served;
        for (const auto &process : m_processes) {
            const auto shards = process->servedShards();
            served.insert(shards.begin(), shards.end());
            if (!process->isIdle() || process->isSuperseded()) {
                return false;
            }
        }
        const bool isComplete = std::set<ShardId>(served.begin(), served.end()).size() == kShards;
        return isComplete && served.size() == kShards;
    }

    void activated(ShardId shard, std::uint64_t epoch, const Chain &chain, bool isLinked)
    {
        ++m_takeovers;
        if (!isLinked) {
            recordViolation(
                "shard " + std::to_string(shard)
                + ": the replayed records are not one chain, but records of two owners");
        }
        Activation activation{epoch, {chain.begin(), chain.end()}};
        for (const DurableRecord &record : m_durable[shard]) {
            check(shard, activation, record);
        }
        m_activations[shard].push_back(std::move(activation));
    }

    void durable(ShardId shard, std::uint64_t epoch, std::uint64_t number)
    {
        ++m_durableCount;
        m_durable[shard].push_back({epoch, number});
        for (const Activation &activation : m_activations[shard]) {
            check(shard, activation, m_durable[shard].back());
        }
    }

    // A paused host may fail to read objects that its successor has removed. Only a failure of the
    // current owner is a violation.
    void failed(ShardId shard, std::uint64_t epoch, const std::string &message)
    {
        const store::Object &object = m_network.memory().objects().at(shardKey(shard));
        if (decodeShard(object.key, object.data).value().epoch() == epoch) {
            recordViolation(message);
        }
    }

    void check(ShardId shard, const Activation &activation, const DurableRecord &record)
    {
        if (activation.epoch > record.epoch && !activation.numbers.contains(record.number)) {
            recordViolation("shard " + std::to_string(shard) + ": the owner of epoch "
                            + std::to_string(activation.epoch) + " does not see the durable record "
                            + std::to_string(record.number) + " of epoch "
                            + std::to_string(record.epoch));
        }
    }

    std::mt19937_64 m_random;
    Mutation m_mutation;
    FaultyNetwork m_network;
    SimObserver m_observer;
    std::vector<std::unique_ptr<SimProcess>> m_processes;
    std::vector<bool> m_paused;
    Instant m_now = Instant(std::chrono::hours(1));
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_lastNumber = 0;
    std::map<ShardId, std::vector<Activation>> m_activations;
    std::map<ShardId, std::vector<DurableRecord>> m_durable;
    std::size_t m_durableCount = 0;
    std::size_t m_takeovers = 0;
    std::optional<std::string> m_violation;
};

// Requires that at least one seed detects the mutation.
void expectDetected(Mutation mutation)
{
    std::optional<std::string> violation;
    for (std::uint64_t seed = 1; seed <= kMaxSeedsPerMutation && !violation; ++seed) {
        violation = Simulation(seed, mutation).run();
        if (violation) {
            BOOST_TEST_MESSAGE("mutation detected by seed " << seed << ": " << *violation);
        }
    }
    BOOST_TEST(violation.has_value(), "no seed detects the mutation");
}

} // namespace

BOOST_AUTO_TEST_SUITE(interleaving)

BOOST_AUTO_TEST_CASE(everyDurableRecordIsSeenByEverySuccessorInOrder)
{
    std::size_t durable = 0;
    std::size_t takeovers = 0;
    for (std::uint64_t seed = 1; seed <= kSeedsWithoutMutation; ++seed) {
        Simulation simulation(seed, Mutation::None);
        const auto violation = simulation.run();
        BOOST_TEST(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
        durable += simulation.durableCount();
        takeovers += simulation.takeovers();
    }
    BOOST_TEST_MESSAGE(durable << " durable records, " << takeovers << " takeovers");
    BOOST_TEST(durable > kSeedsWithoutMutation * 50);
    BOOST_TEST(takeovers > kSeedsWithoutMutation * 10);
}

BOOST_AUTO_TEST_CASE(detectsASealThatIsNotStored)
{
    expectDetected(Mutation::SealNotStored);
}

BOOST_AUTO_TEST_CASE(detectsACreateThatOverwrites)
{
    expectDetected(Mutation::CreateOverwrites);
}

BOOST_AUTO_TEST_CASE(detectsAnUpdateThatIgnoresTheVersion)
{
    expectDetected(Mutation::UpdateIgnoresVersion);
}

BOOST_AUTO_TEST_CASE(detectsLostAnswersThatCountAsSuccess)
{
    expectDetected(Mutation::LostAnswerIsSuccess);
}

BOOST_AUTO_TEST_CASE(detectsConflictsThatCountAsSuccess)
{
    expectDetected(Mutation::ConflictIsSuccess);
}

BOOST_AUTO_TEST_CASE(detectsAnOwnerThatDoesNotReplay)
{
    expectDetected(Mutation::NoReplay);
}

BOOST_AUTO_TEST_CASE(detectsAReleaseBeforeTheRecordsAreDurable)
{
    expectDetected(Mutation::ReleaseBeforeDurable);
}

BOOST_AUTO_TEST_CASE(detectsACheckpointThatCoversLaterBatches)
{
    expectDetected(Mutation::CheckpointCoversLaterBatch);
}

BOOST_AUTO_TEST_CASE(detectsRemovedSeals)
{
    expectDetected(Mutation::SealsRemoved);
}

BOOST_AUTO_TEST_SUITE_END()
