#include "basilhall/audit/recorder.h"

#include "basilhall/audit/bucket.h"

#include <algorithm>

namespace basilhall::audit
{

namespace
{

std::string cut(std::string text)
{
    text.resize(std::min(text.size(), kMaxTextLength));
    return text;
}

bool isSame(const Record &a, const Record &b)
{
    return a.number == b.number && a.incarnation == b.incarnation && a.host == b.host;
}

bool isIn(const Record &record, const std::vector<Record> &records)
{
    return std::any_of(records.begin(), records.end(),
                       [&record](const Record &other) { return isSame(record, other); });
}

} // namespace

Recorder::Recorder(HostName host, Incarnation self, store::OperationIdSource &ids,
                   RecorderOptions options)
    : m_host(std::move(host))
    , m_self(std::move(self))
    , m_ids(ids)
    , m_options(options)
    , m_key(bucketKey(bucketOf(m_host)))
{
}

Record Recorder::make(EventKind kind, std::string subject, std::string detail,
                      WallMillis wallMillis)
{
    ++m_lastNumber;
    return {wallMillis,
            m_host,
            m_self,
            m_lastNumber,
            kind,
            cut(std::move(subject)),
            cut(std::move(detail))};
}

void Recorder::record(EventKind kind, std::string subject, std::string detail,
                      WallMillis wallMillis, Instant now)
{
    m_pending.push_back(make(kind, std::move(subject), std::move(detail), wallMillis));
    m_recent.push_back(m_pending.back());
    if (m_recent.size() > kMaxRecent) {
        m_recent.pop_front();
    }
    if (m_pending.size() > kMaxPending) {
        dropOne();
    }
    const Instant flushAt =
        now + (kind == EventKind::ManifestInForce ? m_options.inForceDelay : m_options.flushDelay);
    m_flushAt = std::min(m_flushAt.value_or(flushAt), flushAt);
}

void Recorder::dropOne()
{
    const auto isInForce = [](const Record &record) {
        return record.kind == EventKind::ManifestInForce;
    };
    const auto found = std::find_if(m_pending.begin(), m_pending.end(), isInForce);
    m_pending.erase(found == m_pending.end() ? m_pending.begin() : found);
    ++m_lost;
}

void Recorder::flush(Instant now)
{
    if (!m_pending.empty()) {
        m_flushAt = now;
    }
}

std::optional<Instant> Recorder::dueAt() const
{
    if (m_pending.empty() || m_outstanding != 0 || !m_flushAt) {
        return std::nullopt;
    }
    return std::max(*m_flushAt, m_retryAt);
}

std::optional<Instant> Recorder::nextWake() const
{
    return dueAt();
}

std::vector<store::Operation> Recorder::advance(Instant now)
{
    const std::optional<Instant> due = dueAt();
    if (!due || now < *due) {
        return {};
    }
    m_outstanding = m_ids.next();
    if (!m_hasRead) {
        m_phase = Phase::Reading;
        return {{m_outstanding, store::Read{m_key}}};
    }
    m_phase = Phase::Writing;
    if (m_lost != 0) {
        const WallMillis wallMillis = m_pending.back().wallMillis;
        m_pending.push_back(make(EventKind::Refusal, "audit records",
                                 std::to_string(m_lost) + " lost during an outage", wallMillis));
        m_lost = 0;
    }
    m_written.assign(m_pending.begin(), m_pending.end());
    std::vector<Record> content = m_bucket;
    content.insert(content.end(), m_written.begin(), m_written.end());
    std::string data = encodeBucket(std::move(content));
    if (!m_version) {
        return {{m_outstanding, store::Create{m_key, std::move(data)}}};
    }
    return {{m_outstanding, store::Update{m_key, std::move(data), *m_version}}};
}

void Recorder::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    if (id != m_outstanding || id == 0) {
        return;
    }
    m_outstanding = 0;
    if (m_phase == Phase::Reading) {
        onRead(outcome, now);
    } else {
        onWritten(outcome, now);
    }
    m_phase = Phase::Idle;
}

void Recorder::onRead(const store::Outcome &outcome, Instant now)
{
    m_bucket.clear();
    m_version.reset();
    if (outcome && outcome.value().size() == 1) {
        const store::Object &object = outcome.value().front();
        Result<std::vector<Record>> records = decodeBucket(m_key, object.data);
        if (records) {
            m_bucket = std::move(records).value();
        } else {
            // What cannot be read is replaced; the record says so.
            m_pending.push_back(make(EventKind::Refusal, m_key.kind + "/" + m_key.name,
                                     cut(records.error().message() + "; replaced"),
                                     m_pending.back().wallMillis));
        }
        m_version = object.version;
        m_hasRead = true;
        forget(m_bucket);
    } else if (!outcome && outcome.error().kind() == ErrorKind::NotFound) {
        m_hasRead = true;
    } else {
        retryLater(now);
    }
}

void Recorder::onWritten(const store::Outcome &outcome, Instant now)
{
    // Other hosts write to the same bucket, so it is read again before the next write.
    m_hasRead = false;
    m_bucket.clear();
    if (outcome) {
        forget(m_written);
        m_backoff.reset();
    } else {
        retryLater(now);
    }
    m_written.clear();
}

void Recorder::forget(const std::vector<Record> &durable)
{
    const auto isDurable = [&durable](const Record &record) { return isIn(record, durable); };
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(), isDurable), m_pending.end());
    if (m_pending.empty()) {
        m_flushAt.reset();
    }
}

void Recorder::retryLater(Instant now)
{
    m_retryAt = now + m_backoff.next();
}

} // namespace basilhall::audit
