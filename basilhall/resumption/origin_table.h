// The streams of which a gateway knows where they began. Bounded; forgets a stream once its caller
// cannot continue it any more.
//
//     OriginTable table;
//     table.add(origin);
//     if (const StreamOrigin *origin = table.find(attempt)) ...
//     table.expire(clock.wallMillis());
#pragma once

#include "basilhall/resumption/stream_origin.h"

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace basilhall::resumption
{

// Not thread-safe.
class OriginTable
{
public:
    // Statements about one attempt that differ in team, service or version contradict each other:
    // the origin is unknown then.
    void add(const StreamOrigin &origin);
    // nullptr if unknown.
    const StreamOrigin *find(const CallId &attempt) const;
    void expire(WallMillis now);
    std::size_t size() const { return m_entries.size(); }

    // Beyond it, the streams that end first are forgotten.
    static constexpr std::size_t kMaxStreams = 50'000;

private:
    struct Entry {
        StreamOrigin origin;
        bool isDisputed = false;
    };

    void setKeptUntil(Entry &entry, WallMillis keptUntil);

    std::unordered_map<CallId, Entry> m_entries;
    std::set<std::pair<WallMillis, CallId>> m_byEnd;
};

} // namespace basilhall::resumption
