// Decides whether a gateway writes records of its peers.
//
//     PeerRecordAdmission admission(registry, log);
//     if (admission.admit({writer.pendingBytes(), failingFor, isFailing}, now)) { ... }
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/logging/log.h"

#include <compare>
#include <cstddef>

namespace basilhall::metrics
{
class Counter;
class Registry;
} // namespace basilhall::metrics

namespace basilhall::gateway
{

// What waits to become durable here. Immutable value.
struct JournalBacklog {
    std::size_t pendingBytes = 0;
    // How long the object API has been failing.
    Duration failingFor{};
    // The object API fails or does not answer.
    bool isFailing = false;

    auto operator<=>(const JournalBacklog &) const = default;
};

// Not thread-safe. Records that would not become durable soon are refused at once: the peer writes
// them itself, instead of giving up later and writing them a second time.
class PeerRecordAdmission
{
public:
    PeerRecordAdmission(metrics::Registry &registry, logging::Log log);

    // Counts refusals, and logs one a second.
    bool admit(const JournalBacklog &backlog, Instant now);

private:
    metrics::Counter &m_refusals;
    logging::Log m_log;
    // When the next line may be written.
    Instant m_nextLogAt = Instant::min();
};

} // namespace basilhall::gateway
