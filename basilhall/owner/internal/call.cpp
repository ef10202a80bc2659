#include "basilhall/owner/internal/call.h"

namespace basilhall::owner::internal
{

std::string_view toString(CallPhase phase)
{
    switch (phase) {
    case CallPhase::Queued:
        return "queued";
    case CallPhase::WaitingForIntent:
        return "waiting_for_intent";
    case CallPhase::Dispatched:
        return "dispatched";
    case CallPhase::Resolving:
        return "resolving";
    case CallPhase::WaitingForRecord:
        return "waiting_for_record";
    }
    return "unknown";
}

} // namespace basilhall::owner::internal
