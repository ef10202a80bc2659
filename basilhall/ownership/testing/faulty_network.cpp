#include "basilhall/ownership/testing/faulty_network.h"

#include "basilhall/journal/batch_codec.h"
#include "basilhall/ownership/shard_codec.h"

namespace basilhall::ownership::testing
{

namespace
{

const Error kLost(ErrorKind::StoreUnavailable, "timed out");

bool isSeal(const store::ObjectKey &key, const std::string &data)
{
    const auto batch = key.kind == journal::kJournalKind ? journal::decodeBatch(key, data)
                                                         : Result<journal::Batch>(kLost);
    return batch && !batch.value().sealed_by().empty();
}

} // namespace

FaultyNetwork::FaultyNetwork(std::mt19937_64 &random, Mutation mutation, Deliver deliver)
    : m_random(random)
    , m_mutation(mutation)
    , m_deliver(std::move(deliver))
{
}

void FaultyNetwork::send(std::uint64_t receiver, store::Operation operation)
{
    m_messages.push_back({receiver, std::move(operation), std::nullopt, false});
}

void FaultyNetwork::step(bool injectFaults)
{
    if (m_messages.empty()) {
        return;
    }
    const std::size_t index = m_random() % m_messages.size();
    Message message = std::move(m_messages[index]);
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (message.isReportedLost) {
        if (chance(50)) {
            (void)apply(message.operation.request);
        }
        return;
    }
    if (!message.answer) {
        stepRequest(message, injectFaults);
        return;
    }
    m_deliver(message.receiver, message.operation.id, *message.answer);
    if (injectFaults && chance(10)) {
        m_messages.push_back(std::move(message));
    }
}

void FaultyNetwork::stepRequest(Message &message, bool injectFaults)
{
    const unsigned roll = injectFaults ? static_cast<unsigned>(m_random() % 100) : 99;
    if (roll < 8) {
        message.isReportedLost = true;
        m_deliver(message.receiver, message.operation.id, kLost);
    } else if (roll < 12) {
        message.answer = kLost.withNotRun();
    } else if (roll < 22) {
        (void)apply(message.operation.request);
        message.answer = kLost;
    } else if (roll < 30) {
        const store::Outcome first = apply(message.operation.request);
        const store::Outcome second = apply(message.operation.request);
        message.answer = chance(50) ? first : second;
    } else {
        message.answer = apply(message.operation.request);
    }
    const bool isWrite = !std::holds_alternative<store::Read>(message.operation.request)
        && !std::holds_alternative<store::List>(message.operation.request);
    const bool isLost = message.isReportedLost
        || (message.answer && !*message.answer
            && message.answer->error().kind() == ErrorKind::StoreUnavailable);
    if (m_mutation == Mutation::LostAnswerIsSuccess && isWrite && isLost) {
        m_deliver(message.receiver, message.operation.id,
                  std::vector<store::Object>{store::Object()});
        return;
    }
    m_messages.push_back(std::move(message));
}

store::Outcome FaultyNetwork::apply(const store::Request &request)
{
    store::Outcome outcome = applyMutated(request);
    if (m_mutation == Mutation::SealsRemoved && std::holds_alternative<store::Update>(request)) {
        removeSeal();
    }
    return outcome;
}

store::Outcome FaultyNetwork::applyMutated(const store::Request &request)
{
    const auto *create = std::get_if<store::Create>(&request);
    const auto *update = std::get_if<store::Update>(&request);
    if (m_mutation == Mutation::SealNotStored && create != nullptr
        && isSeal(create->key, create->data)) {
        return std::vector<store::Object>{store::Object()};
    }
    if (m_mutation == Mutation::CreateOverwrites && create != nullptr) {
        (void)m_memory.apply(store::Remove{create->key});
    }
    if (m_mutation == Mutation::UpdateIgnoresVersion && update != nullptr) {
        store::Update forced = *update;
        const auto found = m_memory.objects().find(update->key);
        forced.expected = found == m_memory.objects().end() ? "" : found->second.version;
        return m_memory.apply(forced);
    }
    store::Outcome outcome = m_memory.apply(request);
    if (m_mutation == Mutation::ConflictIsSuccess && create != nullptr && !outcome
        && create->key.kind == journal::kJournalKind) {
        return std::vector<store::Object>{store::Object()};
    }
    return outcome;
}

void FaultyNetwork::removeSeal()
{
    for (const auto &[key, object] : m_memory.objects()) {
        if (isSeal(key, object.data)) {
            (void)m_memory.apply(store::Remove{key});
            return;
        }
    }
}

} // namespace basilhall::ownership::testing
