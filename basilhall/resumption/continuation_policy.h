// Decides at which version of which service the rest of a stream may be requested.
//
//     const Result<StreamVersion> version = versionFor(continuation);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/resumption/continuation.h"

#include <compare>
#include <string>

namespace basilhall::resumption
{

// Immutable value.
struct StreamVersion {
    std::string service;
    std::string version;

    auto operator<=>(const StreamVersion &) const = default;
};

// Callers that do not name an attempt may continue a stream only if there was a single version.
// That is no substitute for a named attempt that is unknown: its version may have left since.
// Errors are Unavailable with notRun() and state why the version is unknown.
Result<StreamVersion> versionFor(const Continuation &continuation);

} // namespace basilhall::resumption
