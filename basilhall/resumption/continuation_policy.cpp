#include "basilhall/resumption/continuation_policy.h"

namespace basilhall::resumption
{

namespace
{

// The gateway that served the stream may reach the others again within this time.
constexpr Duration kUnknownOriginRetry = std::chrono::milliseconds(500);

Error unknownVersion(const std::string &reason)
{
    return Error(ErrorKind::Unavailable, "the stream cannot be continued: " + reason)
        .withNotRun()
        .withRetryAfter(kUnknownOriginRetry);
}

} // namespace

Result<StreamVersion> versionFor(const Continuation &continuation)
{
    if (!continuation.isNamed) {
        if (!continuation.onlyVersion) {
            return unknownVersion("the attempt that began it is not named, and several versions of "
                                  "service \""
                                  + continuation.service + "\" may have served");
        }
        return StreamVersion{continuation.service, *continuation.onlyVersion};
    }
    if (!continuation.origin || continuation.origin->team != continuation.team) {
        return unknownVersion("no gateway knows which version began it");
    }
    if (!continuation.services.contains(continuation.origin->service)) {
        return unknownVersion("its route no longer leads to service \""
                              + continuation.origin->service + "\"");
    }
    return StreamVersion{continuation.origin->service, continuation.origin->version};
}

} // namespace basilhall::resumption
