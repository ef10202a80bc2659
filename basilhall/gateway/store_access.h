// Access to the platform's object API for the components of the gateway.
//
//     access(store::Read{key}, [](const store::Outcome &outcome) { ... });
#pragma once

#include "basilhall/store/object_store.h"

#include <functional>

namespace basilhall::gateway
{

// Executes one request and calls the handler exactly once.
using StoreAccess = std::function<void(store::Request, store::OutcomeHandler)>;

} // namespace basilhall::gateway
