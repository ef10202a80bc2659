#include "basilhall/gateway/refusal.h"

#include <array>
#include <cstdio>

namespace basilhall::gateway
{

namespace
{

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kTooManyRequests = 429;

bool promisesNotRun(int status)
{
    return status == kUnavailable || status == kTooManyRequests || status == 408 || status == 421;
}

std::string secondsText(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace

int refusalStatus(const Error &error)
{
    const int status = errorTraits(error.kind()).httpStatus;
    if (error.kind() == ErrorKind::DeadlineExceeded) {
        return error.notRun() ? kUnavailable : kGatewayTimeout;
    }
    if (error.notRun() && (status == kBadGateway || status == kGatewayTimeout)) {
        return kUnavailable;
    }
    if (!error.notRun() && promisesNotRun(status)) {
        return kBadGateway;
    }
    return status;
}

http::Response refusal(const Error &error)
{
    http::Response response;
    response.status = refusalStatus(error);
    response.headers.push_back({"Content-Type", "text/plain"});
    if (promisesNotRun(response.status) && error.retryAfter()) {
        response.headers.push_back({"Retry-After", secondsText(*error.retryAfter())});
    }
    response.body = error.message() + "\n";
    return response;
}

} // namespace basilhall::gateway
