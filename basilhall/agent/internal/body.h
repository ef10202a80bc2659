// Reads the complete HTTP response of an endpoint.
//
//     auto answer = co_await readAnswer(stream, kMaxAnswerBytes, deadline);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/http/client.h"
#include "basilhall/wire/wire.pb.h"

#include <chrono>

namespace basilhall::agent::internal
{

// Returns status, content type and body. Fails with EndpointFailed if the body is larger than
// `maxBytes`.
boost::asio::awaitable<Result<wire::Answer>>
readAnswer(http::ResponseStream &stream, std::size_t maxBytes,
           std::chrono::steady_clock::time_point deadline);

} // namespace basilhall::agent::internal
