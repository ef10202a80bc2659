// The closed list of error kinds and the table from kind to answer.
//
//     const ErrorTraits &traits = errorTraits(ErrorKind::RateLimited);
//     response.result(traits.httpStatus); // 429
//
// Every error that crosses a process boundary carries one of these kinds. docs/ERRORS.md is made
// from the same table.
#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace basilhall
{

enum class ErrorKind {
    InvalidRequest,
    Unauthenticated,
    Forbidden,
    NotFound,
    Conflict,
    PayloadTooLarge,
    RateLimited,
    BudgetExceeded,
    ProgramEnded,
    Cancelled,
    Overloaded,
    Draining,
    NotOwner,
    StaleEpoch,
    StoreUnavailable,
    StoreConflict,
    Unavailable,
    ConnectionLost,
    DeadlineExceeded,
    EndpointFailed,
    OutcomeUnknown,
    Corrupt,
    Internal,
};

// How an error kind is answered.
struct ErrorTraits {
    ErrorKind kind;
    // Stable name in JSON answers and logs.
    std::string_view name;
    int httpStatus;
    // True if the answer carries Retry-After.
    bool retryAfter;
    // One sentence for operators: when this happens and what to do.
    std::string_view meaning;
};

// Returns the table row of `kind`. Thread-safe.
const ErrorTraits &errorTraits(ErrorKind kind);

// Returns the whole table in the order of the enumeration.
std::span<const ErrorTraits> errorTable();

// Returns the kind with the stable name `name`, or nothing if there is none.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

} // namespace basilhall
