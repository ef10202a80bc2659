// The actions that Registry returns for its driver to perform.
//
//     for (const Action &action : registry.dispatch(stream, dispatch, now)) {
//         if (const auto *start = std::get_if<Start>(&action)) { ... }
//     }
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/dispatch/dispatch.h"
#include "basilhall/wire/wire.pb.h"

#include <variant>
#include <vector>

namespace basilhall::dispatch
{

// Run the call at the endpoint. The driver must call Registry::onFinished() when it ends, whatever
// the result.
struct Start {
    CallId callId;
    // The stream that the call arrived on.
    StreamNumber stream;
};

// Stop a running call at the endpoint. The driver must still call Registry::onFinished().
struct Cancel {
    CallId callId;
};

// Answer the stream with the error.
struct Refuse {
    StreamNumber stream;
    Error error;
};

// Answer the stream with the recorded answer of the call.
struct Replay {
    StreamNumber stream;
    wire::Answer answer;
};

using Action = std::variant<Start, Cancel, Refuse, Replay>;
using Actions = std::vector<Action>;

} // namespace basilhall::dispatch
