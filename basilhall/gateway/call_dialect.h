// How callers and endpoints write what the gateway needs to know, as a concept.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/call.h"
#include "basilhall/http/message.h"

#include <concepts>

namespace basilhall::gateway
{

// decodeCall: InvalidRequest names a header that is missing or malformed.
// endpointRequest: the request as the endpoint is to get it, with `body`.
// callerHeaders: the headers of an answer that the caller is to get.
// clang-format off
template<typename T>
concept CallDialect = requires(const http::Request &request, const http::Headers &headers,
                               int status, const Dispatch &dispatch, std::string body) {
    { T::decodeCall(request) } -> std::same_as<Result<Call>>;
    { T::endpointRequest(request, dispatch, std::move(body)) } -> std::same_as<http::Request>;
    { T::answerFacts(status, headers) } -> std::same_as<AnswerFacts>;
    { T::callerHeaders(headers) } -> std::same_as<http::Headers>;
};
// clang-format on

} // namespace basilhall::gateway
