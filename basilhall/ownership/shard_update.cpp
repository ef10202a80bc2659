#include "basilhall/ownership/shard_update.h"

namespace basilhall::ownership
{

ShardUpdate::ShardUpdate(ShardState target, std::optional<store::ResourceVersion> expected,
                         store::OperationIdSource &ids)
    : m_target(std::move(target))
    , m_data(encodeShard(m_target))
    , m_key(shardKey(m_target.shard()))
    , m_expected(std::move(expected))
    , m_ids(ids)
{
}

std::vector<store::Operation> ShardUpdate::advance(Instant now)
{
    if (m_result != Result::Pending || m_outstanding != 0 || now < m_retryAt) {
        return {};
    }
    m_outstanding = m_ids.next();
    if (m_reading) {
        return {{m_outstanding, store::Read{m_key}}};
    }
    if (m_expected) {
        return {{m_outstanding, store::Update{m_key, m_data, *m_expected}}};
    }
    return {{m_outstanding, store::Create{m_key, m_data}}};
}

void ShardUpdate::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    if (id != m_outstanding || m_outstanding == 0) {
        return;
    }
    m_outstanding = 0;
    if (m_reading) {
        onRead(outcome, now);
    } else {
        onWritten(outcome, now);
    }
}

void ShardUpdate::onWritten(const store::Outcome &outcome, Instant now)
{
    if (outcome && outcome.value().size() == 1) {
        finish(Result::Applied, store::Object{m_key, outcome.value().front().version, m_data});
        return;
    }
    if (!outcome && outcome.error().kind() == ErrorKind::StoreConflict) {
        m_reading = true;
        m_backoff.reset();
        return;
    }
    if (!outcome && outcome.error().kind() == ErrorKind::NotFound) {
        finish(Result::Refused, std::nullopt);
        return;
    }
    m_retryAt = now + m_backoff.next();
}

void ShardUpdate::onRead(const store::Outcome &outcome, Instant now)
{
    if (outcome && outcome.value().size() == 1) {
        const store::Object &object = outcome.value().front();
        finish(object.data == m_data ? Result::Applied : Result::Refused, object);
        return;
    }
    if (!outcome && outcome.error().kind() == ErrorKind::NotFound) {
        finish(Result::Refused, std::nullopt);
        return;
    }
    m_retryAt = now + m_backoff.next();
}

void ShardUpdate::finish(Result result, std::optional<store::Object> current)
{
    m_result = result;
    m_current = std::move(current);
}

std::optional<Instant> ShardUpdate::nextWake() const
{
    if (m_result != Result::Pending || m_outstanding != 0) {
        return std::nullopt;
    }
    return m_retryAt;
}

} // namespace basilhall::ownership
