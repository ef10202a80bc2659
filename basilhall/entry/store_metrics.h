// Measures the number, outcome and duration of object API requests.
//
//     objects.execute(request, counted(registry, request, std::move(handler)));
#pragma once

#include "basilhall/store/object_store.h"

namespace basilhall::metrics
{
class Registry;
}

namespace basilhall::entry
{

// Counts `request` and returns a wrapper of `handler` that records the outcome before it calls
// `handler`. Call it when the request is sent. `registry` must outlive the request.
store::OutcomeHandler counted(metrics::Registry &registry, const store::Request &request,
                              store::OutcomeHandler handler);

} // namespace basilhall::entry
