// Journals of gateways that are not connected, but may still run and write. What was read of such a
// journal is never all of it.
//
//     OpenJournals open;
//     open.add(incarnation, {host, lastKnownBatch, now});
//     const OpenJournals::Change change = open.onRunning(host, incarnation);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/journal/batch_codec.h"

#include <compare>
#include <map>
#include <optional>

namespace basilhall::gateway
{

// Not thread-safe.
class OpenJournals
{
public:
    // Immutable value.
    struct Journal {
        // Empty if unknown.
        HostName host;
        // All batches up to this one were known when it became open.
        journal::BatchNumber lastKnown = 0;
        Instant since;

        auto operator<=>(const Journal &) const = default;
    };

    struct Change {
        // The journal of the running gateway, if it was open.
        std::optional<Journal> own;
        // Journals of earlier processes on its host: they have ended.
        std::map<Incarnation, Journal> ended;
    };

    // Ignored if the journal is open already.
    void add(const Incarnation &incarnation, const Journal &journal);
    // The gateway is connected: closes its journal, and those of earlier processes on its host,
    // which runs one at a time.
    Change onRunning(const HostName &host, const Incarnation &incarnation);
    // Closes the journals that have been open for too long.
    void expire(Instant now);

    bool contains(const Incarnation &incarnation) const { return m_journals.contains(incarnation); }
    bool isEmpty() const { return m_journals.empty(); }
    const std::map<Incarnation, Journal> &journals() const { return m_journals; }

private:
    std::map<Incarnation, Journal> m_journals;
};

} // namespace basilhall::gateway
