// The simulated network between the hosts and the object API in the interleaving tests. Delays,
// loses, duplicates and reorders requests and answers, controlled by a seeded random generator.
#pragma once

#include "basilhall/store/memory_store.h"

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace basilhall::ownership::testing
{

// A deliberate violation of a guarantee of the object API or of a rule for its callers. The tests
// use it to show that their checks detect the violation.
enum class Mutation {
    None,
    // A seal is acknowledged but not stored.
    SealNotStored,
    // Create replaces an existing object.
    CreateOverwrites,
    // Update does not check the version.
    UpdateIgnoresVersion,
    // A lost answer counts as a success.
    LostAnswerIsSuccess,
    // A conflict on the creation of a batch counts as a success of an earlier attempt of the
    // writer.
    ConflictIsSuccess,
    // The new owner serves without reading the records.
    NoReplay,
    // A shard is released before its records are durable.
    ReleaseBeforeDurable,
    // A checkpoint is recorded as covering a batch that is written after its snapshot.
    CheckpointCoversLaterBatch,
    // Seals are removed once the shards have been claimed.
    SealsRemoved,
};

class FaultyNetwork
{
public:
    // Called with the receiver, the operation id and the outcome.
    using Deliver = std::function<void(std::uint64_t, store::OperationId, const store::Outcome &)>;

    FaultyNetwork(std::mt19937_64 &random, Mutation mutation, Deliver deliver);

    // Sends a request of the process `receiver`. The number must not be reused by a later process.
    void send(std::uint64_t receiver, store::Operation operation);
    // Processes one random message: applies a request or delivers an answer. With `injectFaults`
    // the message may be lost, duplicated or delayed.
    void step(bool injectFaults);
    bool isEmpty() const { return m_messages.empty(); }
    store::MemoryStore &memory() { return m_memory; }

private:
    struct Message {
        std::uint64_t receiver = 0;
        store::Operation operation;
        std::optional<store::Outcome> answer;
        // The sender was told that the answer was lost; the request may still be applied later.
        bool isReportedLost = false;
    };

    bool chance(unsigned percent) { return m_random() % 100 < percent; }
    store::Outcome apply(const store::Request &request);
    store::Outcome applyMutated(const store::Request &request);
    void stepRequest(Message &message, bool injectFaults);
    void removeSeal();

    std::mt19937_64 &m_random;
    Mutation m_mutation;
    Deliver m_deliver;
    store::MemoryStore m_memory;
    std::vector<Message> m_messages;
};

} // namespace basilhall::ownership::testing
