#include "basilhall/entry/error_response.h"

#include <algorithm>
#include <boost/json.hpp>

namespace basilhall::entry
{

namespace json = boost::json;

namespace
{

constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

} // namespace

std::string errorDocument(const Error &error)
{
    const std::string kind(errorTraits(error.kind()).name);
    json::object object{{"kind", kind}, {"type", kind}, {"message", error.message()}};
    if (error.notRun()) {
        object["not_run"] = true;
    }
    if (const auto delay = error.retryAfter()) {
        object["retry_after_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(*delay).count();
    }
    return json::serialize(json::object{{"error", object}});
}

http::Response errorResponse(const Error &error)
{
    const ErrorTraits &traits = errorTraits(error.kind());
    http::Response response;
    response.status = traits.httpStatus;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = errorDocument(error);
    if (traits.retryAfter) {
        const Duration delay = error.retryAfter().value_or(kDefaultRetryAfter);
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
        const auto atLeastOne = std::max<std::int64_t>(seconds, 1);
        response.headers.push_back({"Retry-After", std::to_string(atLeastOne)});
    }
    return response;
}

} // namespace basilhall::entry
