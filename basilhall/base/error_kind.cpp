#include "basilhall/base/error_kind.h"

#include <algorithm>
#include <array>

namespace basilhall
{

namespace
{

constexpr std::array kTable{
    ErrorTraits{ErrorKind::InvalidRequest, "invalid_request", 400, false,
                "The request is malformed; the message names the field."},
    ErrorTraits{ErrorKind::Unauthenticated, "unauthenticated", 401, false,
                "No key was presented, or it is unknown or withdrawn."},
    ErrorTraits{ErrorKind::Forbidden, "forbidden", 403, false,
                "The team of the key may not use the route or the program."},
    ErrorTraits{ErrorKind::NotFound, "not_found", 404, false,
                "The model, route or program does not exist."},
    ErrorTraits{ErrorKind::Conflict, "conflict", 409, false,
                "The request contradicts an earlier one with the same identifier."},
    ErrorTraits{ErrorKind::PayloadTooLarge, "payload_too_large", 413, false,
                "The body or the header is larger than the stated limit."},
    ErrorTraits{ErrorKind::RateLimited, "rate_limited", 429, true,
                "The team is at its rate and burst; retry after the stated time."},
    ErrorTraits{ErrorKind::BudgetExceeded, "budget_exceeded", 402, false,
                "The call could exceed the budget of its program."},
    ErrorTraits{ErrorKind::ProgramEnded, "program_ended", 410, false,
                "The program has ended and takes no further call."},
    ErrorTraits{ErrorKind::Cancelled, "cancelled", 499, false,
                "The caller cancelled the call or ended the program."},
    ErrorTraits{ErrorKind::Overloaded, "overloaded", 503, true,
                "No capacity for the call now; retry after the stated time."},
    ErrorTraits{ErrorKind::Draining, "draining", 503, true,
                "The process is shutting down; another host takes the call."},
    ErrorTraits{ErrorKind::NotOwner, "not_owner", 503, true,
                "The host does not own the shard of the program; ownership is moving."},
    ErrorTraits{ErrorKind::StaleEpoch, "stale_epoch", 503, true,
                "The sender has been superseded by a newer owner."},
    ErrorTraits{ErrorKind::StoreUnavailable, "store_unavailable", 503, true,
                "The object API does not answer; retry after the stated time."},
    ErrorTraits{ErrorKind::StoreConflict, "store_conflict", 409, false,
                "A conditional write lost against a concurrent one."},
    ErrorTraits{ErrorKind::Unavailable, "unavailable", 503, true,
                "No live endpoint or owner can take the call now."},
    ErrorTraits{ErrorKind::ConnectionLost, "connection_lost", 502, true,
                "A connection between processes broke before the answer was complete."},
    ErrorTraits{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, false,
                "The deadline of the call passed."},
    ErrorTraits{ErrorKind::EndpointFailed, "endpoint_failed", 502, false,
                "The endpoint answered with an error or a malformed answer."},
    ErrorTraits{ErrorKind::OutcomeUnknown, "outcome_unknown", 502, false,
                "The call may have run; it is never repeated. Check with the service."},
    ErrorTraits{ErrorKind::Corrupt, "corrupt", 500, false,
                "A stored object is damaged or of a newer format; the message names it."},
    ErrorTraits{ErrorKind::Internal, "internal", 500, false,
                "A defect in basilhall; report it with the log line."},
};

static_assert(kTable.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

} // namespace

const ErrorTraits &errorTraits(ErrorKind kind)
{
    return kTable.at(static_cast<std::size_t>(kind));
}

std::span<const ErrorTraits> errorTable()
{
    return kTable;
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    const auto *const row =
        std::find_if(kTable.begin(), kTable.end(),
                     [name](const ErrorTraits &traits) { return traits.name == name; });
    if (row == kTable.end()) {
        return std::nullopt;
    }
    return row->kind;
}

} // namespace basilhall
