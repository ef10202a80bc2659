// What a stream of a kept turn has said so far. A caller may continue the stream at another
// gateway, which then keeps the whole turn.
//
//     StreamOutput output{stream, team, 0, startedAt, attempt, {{1, "first\n"}}, keptUntil};
//     const std::string said = textOf(output.eventsUpTo(3));
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>
#include <tuple>
#include <vector>

namespace basilhall::resumption
{

// Immutable value.
struct SaidEvent {
    std::uint64_t id = 0;
    // The values of its data lines, each followed by a line feed.
    std::string data;

    auto operator<=>(const SaidEvent &) const = default;
};

// Memory of an event.
inline std::size_t bytesOf(const SaidEvent &event)
{
    return event.data.size() + sizeof(SaidEvent);
}

// Value; events are only appended.
struct StreamOutput {
    // The attempt that brought the first event; names the stream.
    CallId stream;
    TeamName team;
    // How often the stream has been continued, when the last attempt arrived, and its id.
    std::uint64_t continuation = 0;
    WallMillis startedAt = 0;
    CallId attempt;
    // All events in their order, those of earlier attempts included.
    std::vector<SaidEvent> events;
    // The caller may continue the stream until then.
    WallMillis keptUntil = 0;

    auto operator<=>(const StreamOutput &) const = default;

    // Outputs of the same stream: a later attempt replaces what an earlier one has said.
    bool isLaterThan(const StreamOutput &other) const
    {
        return std::tie(continuation, startedAt, attempt)
            > std::tie(other.continuation, other.startedAt, other.attempt);
    }
    // True if it includes the event `id`, or if that is 0, before the first event.
    bool reaches(std::uint64_t id) const
    {
        return id == 0 || (!events.empty() && events.back().id >= id);
    }
    std::vector<SaidEvent> eventsUpTo(std::uint64_t id) const
    {
        std::vector<SaidEvent> found;
        std::copy_if(events.begin(), events.end(), std::back_inserter(found),
                     [id](const SaidEvent &event) { return event.id <= id; });
        return found;
    }
    std::size_t bytes() const
    {
        std::size_t sum = 0;
        for (const SaidEvent &event : events) {
            sum += bytesOf(event);
        }
        return sum;
    }
};

// The data of the events, one after the other.
inline std::string textOf(const std::vector<SaidEvent> &events)
{
    std::string text;
    for (const SaidEvent &event : events) {
        text += event.data;
    }
    return text;
}

} // namespace basilhall::resumption
