#include "basilhall/agent/internal/body.h"

#include <algorithm>

namespace basilhall::agent::internal
{

boost::asio::awaitable<Result<wire::Answer>>
readAnswer(http::ResponseStream &stream, std::size_t maxBytes,
           std::chrono::steady_clock::time_point deadline)
{
    wire::Answer answer;
    answer.set_status(stream.status());
    if (const auto type = http::findHeader(stream.headers(), "Content-Type")) {
        answer.set_content_type(std::string(*type));
    }
    while (true) {
        const Duration left = deadline - std::chrono::steady_clock::now();
        auto part = co_await stream.read(std::max<Duration>(left, Duration::zero()));
        if (!part) {
            co_return part.error();
        }
        if (!part.value()) {
            co_return answer;
        }
        answer.mutable_body()->append(*part.value());
        if (answer.body().size() > maxBytes) {
            co_return Error(ErrorKind::EndpointFailed,
                            "answer body is larger than " + std::to_string(maxBytes) + " bytes");
        }
    }
}

} // namespace basilhall::agent::internal
