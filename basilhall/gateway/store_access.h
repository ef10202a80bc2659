// The platform's object API as the gateway's parts call it.
#pragma once

#include "basilhall/store/object_store.h"

#include <functional>

namespace basilhall::gateway
{

// Carries one request out and calls the handler exactly once.
using StoreAccess = std::function<void(store::Request, store::OutcomeHandler)>;

} // namespace basilhall::gateway
