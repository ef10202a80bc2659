#include "basilhall/wire/error_codec.h"

#include "basilhall/wire/wire.pb.h"

namespace basilhall::wire
{

ErrorReply toReply(const Error &error)
{
    ErrorReply reply;
    reply.set_kind(std::string(errorTraits(error.kind()).name));
    reply.set_message(error.message());
    reply.set_not_run(error.notRun());
    if (const auto delay = error.retryAfter()) {
        reply.set_retry_after_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(*delay).count());
    }
    return reply;
}

Error fromReply(const ErrorReply &reply)
{
    const auto kind = errorKindFromName(reply.kind());
    Error error = kind ? Error(*kind, reply.message())
                       : Error(ErrorKind::Internal,
                               "unknown error kind \"" + reply.kind() + "\": " + reply.message());
    if (reply.not_run()) {
        error = error.withNotRun();
    }
    if (reply.retry_after_ms() > 0) {
        error = error.withRetryAfter(std::chrono::milliseconds(reply.retry_after_ms()));
    }
    return error;
}

} // namespace basilhall::wire
