// Concept for the translation between HTTP messages and calls, which depends on the platform.
//
//     template<CallDialect Dialect>
//     class Forwarder;
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/call.h"
#include "basilhall/http/message.h"

#include <concepts>

namespace basilhall::gateway
{

// decodeCall: returns the decoded request; InvalidRequest names a missing or malformed header.
// endpointRequest: returns the request to send to the endpoint, with `body`.
// answerFacts: returns what the header of an endpoint's answer states.
// callerHeaders: returns the headers of an answer that are forwarded to the caller.
// processRequest: returns the request that asks an endpoint about its process.
// processStart: returns the start of the process that gave this answer, in ms; nullopt if not
// stated.
// clang-format off
template<typename T>
concept CallDialect = requires(const http::Request &request, const http::Headers &headers,
                               int status, const Dispatch &dispatch, std::string body,
                               const http::Response &response) {
    { T::decodeCall(request) } -> std::same_as<Result<Call>>;
    { T::endpointRequest(request, dispatch, std::move(body)) } -> std::same_as<http::Request>;
    { T::answerFacts(status, headers) } -> std::same_as<AnswerFacts>;
    { T::callerHeaders(headers) } -> std::same_as<http::Headers>;
    { T::processRequest() } -> std::same_as<http::Request>;
    { T::processStart(response) } -> std::same_as<std::optional<WallMillis>>;
};
// clang-format on

} // namespace basilhall::gateway
