// Concept for asynchronous clients of the object API; see KubeStore.
#pragma once

#include "basilhall/store/operation.h"
#include "basilhall/store/outcome.h"

#include <concepts>
#include <functional>

namespace basilhall::store
{

// Receives the outcome of one request; called exactly once, on the thread of the store's executor.
using OutcomeHandler = std::function<void(Outcome)>;

// `execute` returns immediately. The outcome is StoreUnavailable if the deadline of the request
// passes.
// clang-format off
template<typename T>
concept ObjectStore = requires(T &store, Request request, OutcomeHandler handler) {
    { store.execute(std::move(request), std::move(handler)) } -> std::same_as<void>;
};
// clang-format on

} // namespace basilhall::store
