// What streams of kept turns have said, as gateways tell each other while they relay them.
// Bounded; forgets a stream once its caller cannot continue it any more.
//
//     OutputTable table;
//     switch (table.add(part, 5)) { ... } // `part` has the events from the sixth on
//     if (const StreamOutput *output = table.find(stream)) ...
//     table.expire(clock.wallMillis());
#pragma once

#include "basilhall/resumption/stream_output.h"

#include <cstddef>
#include <unordered_map>

namespace basilhall::resumption
{

enum class OutputVerdict {
    Accepted,
    // Events before the part are missing: send all.
    Gap,
    // A later attempt has continued the stream.
    Superseded,
};

// Not thread-safe.
class OutputTable
{
public:
    // Adds the events of an attempt, of which the first is the one with this index among all. The
    // first part of an attempt has all events and replaces what earlier attempts have said.
    OutputVerdict add(const StreamOutput &part, std::size_t firstIndex);
    // nullptr if unknown.
    const StreamOutput *find(const CallId &stream) const;
    void expire(WallMillis now);
    std::size_t size() const { return m_outputs.size(); }
    std::size_t bytes() const { return m_bytes; }

    // Beyond it, the streams that end first are forgotten.
    static constexpr std::size_t kMaxBytes = 4UL * 1024 * 1024;

private:
    void dropBeyondBound(const CallId &added);

    std::unordered_map<CallId, StreamOutput> m_outputs;
    std::size_t m_bytes = 0;
};

} // namespace basilhall::resumption
