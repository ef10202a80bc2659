// Result of an operation on the object API.
//
//     if (outcome.has_error() && outcome.error().kind() == ErrorKind::StoreConflict) { ... }
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/store/object.h"

#include <vector>

namespace basilhall::store
{

// On success: for Create, Update and Read the current object (`data` may be empty after a write),
// for List all matching objects, for Remove nothing.
// On failure: StoreConflict, NotFound, InvalidRequest and StoreUnavailable with notRun() mean that
// nothing changed. StoreUnavailable without notRun() means that the write may have taken effect or
// may still do so shortly; read the object to find out.
using Outcome = Result<std::vector<Object>>;

} // namespace basilhall::store
