// Whether a request of a route may be repeated.
#pragma once

namespace basilhall::fleet
{

enum class CallKind {
    // May run more than once.
    Idempotent,
    // Runs at most once.
    NonIdempotent,
    // Answers with a series of events; runs at most once unless the route is resumable.
    Stream,
};

} // namespace basilhall::fleet
