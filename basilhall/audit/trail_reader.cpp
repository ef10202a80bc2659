#include "basilhall/audit/trail_reader.h"

#include "basilhall/audit/bucket.h"

#include <algorithm>
#include <numeric>

namespace basilhall::audit
{

namespace
{

constexpr std::size_t kMaxReadsAtOnce = 8;

} // namespace

TrailReader::TrailReader(store::OperationIdSource &ids)
    : m_ids(ids)
    , m_wanted(kBuckets)
{
    std::iota(m_wanted.begin(), m_wanted.end(), 0);
}

std::vector<store::Operation> TrailReader::advance(Instant now)
{
    std::vector<store::Operation> operations;
    while (now >= m_retryAt && !m_wanted.empty() && m_outstanding.size() < kMaxReadsAtOnce) {
        const std::size_t bucket = m_wanted.back();
        m_wanted.pop_back();
        const store::OperationId id = m_ids.next();
        m_outstanding.emplace(id, bucket);
        operations.push_back({id, store::Read{bucketKey(bucket)}});
    }
    return operations;
}

std::optional<Instant> TrailReader::nextWake() const
{
    if (m_wanted.empty() || m_outstanding.size() >= kMaxReadsAtOnce) {
        return std::nullopt;
    }
    return m_retryAt;
}

void TrailReader::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    const auto found = m_outstanding.find(id);
    if (found == m_outstanding.end()) {
        return;
    }
    const std::size_t bucket = found->second;
    m_outstanding.erase(found);
    if (!outcome) {
        if (outcome.error().kind() != ErrorKind::NotFound) {
            m_wanted.push_back(bucket);
            m_retryAt = now + m_backoff.next();
        }
        return;
    }
    m_backoff.reset();
    for (const store::Object &object : outcome.value()) {
        Result<std::vector<Record>> records = decodeBucket(object.key, object.data);
        if (!records) {
            m_faults.push_back(records.error());
            continue;
        }
        m_records.insert(m_records.end(), records.value().begin(), records.value().end());
    }
}

std::vector<Record> TrailReader::records() const
{
    std::vector<Record> sorted = m_records;
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

} // namespace basilhall::audit
