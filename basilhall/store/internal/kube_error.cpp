#include "basilhall/store/internal/kube_error.h"

#include <charconv>

namespace basilhall::store
{

namespace
{

constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

std::optional<Duration> retryAfterFrom(const http::Headers &headers)
{
    const std::optional<std::string_view> text = http::findHeader(headers, "Retry-After");
    if (!text) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *end = text->data() + text->size();
    if (std::from_chars(text->data(), end, seconds).ptr != end || seconds < 0) {
        return kDefaultRetryAfter;
    }
    return std::chrono::seconds(seconds);
}

std::string withStatus(const std::string &description, int status)
{
    return description + ": the object API returned status " + std::to_string(status);
}

// Returns true if the request certainly had no effect. A 503 from the API's admission control has
// Retry-After; a 5xx without it may come from a proxy that lost the response to a request that ran.
bool isCertainlyNotRun(bool isWrite, int status, bool hasRetryAfter)
{
    const bool isRejected = status == 429 || (status == 503 && hasRetryAfter);
    return !isWrite || isRejected || (status >= 400 && status < 500 && status != 408);
}

} // namespace

Error errorFromStatus(const std::string &description, bool isWrite, int status,
                      const http::Headers &headers)
{
    const std::string message = withStatus(description, status);
    switch (status) {
    case 404:
        return Error(ErrorKind::NotFound, message);
    case 409:
    case 410:
        return Error(ErrorKind::StoreConflict, message);
    case 400:
    case 413:
    case 422:
        return Error(ErrorKind::InvalidRequest, message);
    default:
        break;
    }
    const std::optional<Duration> retryAfter = retryAfterFrom(headers);
    Error error(ErrorKind::StoreUnavailable, message);
    if (retryAfter) {
        error = error.withRetryAfter(*retryAfter);
    }
    return isCertainlyNotRun(isWrite, status, retryAfter.has_value()) ? error.withNotRun() : error;
}

Error errorFromTransport(const std::string &description, bool isWrite, const Error &error)
{
    Error mapped(ErrorKind::StoreUnavailable, description + ": " + error.message());
    return error.notRun() || !isWrite ? mapped.withNotRun() : mapped;
}

} // namespace basilhall::store
