#include "basilhall/http/client.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/http/internal/client_response.h"
#include "basilhall/http/internal/codec.h"
#include "basilhall/http/internal/connection_pool.h"

#include <algorithm>

namespace basilhall::http
{

namespace asio = boost::asio;

namespace
{

// Other servers may take a request that maySend() stops.
constexpr Duration kNotSentRetry = std::chrono::milliseconds(100);

class PooledStream : public ResponseStream
{
public:
    explicit PooledStream(std::shared_ptr<ClientResponse> response)
        : m_response(std::move(response))
    {
    }

    ~PooledStream() override { m_response->finish(); }

    int status() const override { return m_response->status(); }
    const Headers &headers() const override { return m_response->headers(); }
    Instant connectedAt() const override { return m_response->connection().connectedAt(); }

    asio::awaitable<Result<std::optional<std::string>>> read(Duration timeout) override
    {
        const auto response = m_response;
        response->connection().deadline().arm(timeout);
        auto part = co_await response->readPart();
        if (!part || !part.value()) {
            response->finish();
        }
        response->connection().deadline().disarm();
        co_return part;
    }

    void cancel() override { m_response->connection().cancel(); }

private:
    std::shared_ptr<ClientResponse> m_response;
};

} // namespace

class Client::Private
{
public:
    explicit Private(const asio::any_io_executor &executor)
        : m_pool(std::make_shared<ConnectionPool>(executor))
    {
    }

    // Sends the request and reads its response header. The deadline of the connection is still
    // armed on return.
    static asio::awaitable<Result<std::shared_ptr<ClientResponse>>>
    exchange(std::shared_ptr<ConnectionPool> pool, Address server, Request request,
             Duration timeout, RequestOptions options)
    {
        auto bytes = encodeRequest(request, toString(server));
        if (!bytes) {
            co_return bytes.error();
        }
        if (options.cancellation && options.cancellation->isCancelled()) {
            co_return Error(ErrorKind::Cancelled, "request was cancelled before it was sent")
                .withNotRun();
        }
        auto connection = options.newConnection ? nullptr : pool->acquire(server);
        const bool isNew = connection == nullptr;
        if (isNew) {
            connection = std::make_shared<ClientConnection>(pool->executor(), server);
        }
        if (options.cancellation) {
            options.cancellation->bind([connection] { connection->cancel(); });
        }
        const Instant deadline = MonotonicClock().now() + timeout;
        Result<void> done = success();
        if (isNew) {
            const Duration connectTime = std::min(timeout, options.connectTimeout);
            const Instant connectBy = MonotonicClock().now() + connectTime;
            connection->deadline().arm(connectTime);
            done = co_await connection->connect();
            // A process that was paused may see the connection before it sees that time ran out.
            if (done && MonotonicClock().now() >= connectBy) {
                done = Error(ErrorKind::DeadlineExceeded,
                             "time ran out while connecting with " + toString(server))
                           .withNotRun();
            }
        }
        connection->deadline().arm(deadline - MonotonicClock().now());
        if (done && options.maySend && !options.maySend()) {
            if (options.cancellation) {
                options.cancellation->bind(nullptr);
            }
            connection->cancel();
            co_return Error(ErrorKind::Overloaded,
                            "the request to " + toString(server) + " may not be sent any more")
                .withNotRun()
                .withRetryAfter(kNotSentRetry);
        }
        if (done) {
            done = co_await connection->write(std::move(bytes).value());
        }
        auto response =
            std::make_shared<ClientResponse>(pool, connection, request.method == "HEAD");
        // A server may respond and close before it has read the whole request, so a failed write
        // does not rule out a response.
        if (done || !done.error().notRun()) {
            const Result<void> responded = co_await readMatchingHeader(*response, options, isNew);
            done = responded || done ? responded : done;
        }
        if (options.cancellation) {
            options.cancellation->bind(nullptr);
        }
        if (!done) {
            connection->cancel();
            co_return done.error();
        }
        co_return response;
    }

    // Reads response headers until one belongs to the request: a server may send a second response
    // to an earlier request.
    static asio::awaitable<Result<void>>
    readMatchingHeader(ClientResponse &response, const RequestOptions &options, bool isNew)
    {
        Result<void> done = co_await response.readHeader();
        bool isFirst = isNew;
        while (done && options.ownerOf) {
            const ResponseOwner owner = options.ownerOf(response.headers());
            if (owner == ResponseOwner::ThisRequest
                || (owner == ResponseOwner::Unknown && isFirst)) {
                break;
            }
            if (owner == ResponseOwner::Unknown) {
                co_return Error(ErrorKind::EndpointFailed,
                                "the response from " + toString(response.connection().server())
                                    + " may belong to an earlier request");
            }
            isFirst = false;
            done = co_await response.skip();
            if (done) {
                done = co_await response.readHeader();
            }
        }
        co_return done;
    }

    static asio::awaitable<Result<Response>> collect(std::shared_ptr<ClientResponse> response,
                                                     std::size_t maxBytes)
    {
        Response collected;
        collected.status = response->status();
        collected.headers = response->headers();
        while (true) {
            auto part = co_await response->readPart();
            if (!part) {
                response->finish();
                co_return part.error();
            }
            if (!part.value()) {
                response->finish();
                co_return collected;
            }
            collected.body += *part.value();
            if (collected.body.size() > maxBytes) {
                response->finish();
                co_return Error(ErrorKind::EndpointFailed,
                                "response body of " + toString(response->connection().server())
                                    + " is larger than " + std::to_string(maxBytes) + " bytes");
            }
        }
    }

    const std::shared_ptr<ConnectionPool> m_pool;
};

Client::Client(const asio::any_io_executor &executor)
    : d(std::make_shared<Private>(executor))
{
}

Client::~Client() = default;

const asio::any_io_executor &Client::executor() const
{
    return d->m_pool->executor();
}

asio::awaitable<Result<Response>> Client::send(Address server, Request request, Duration timeout,
                                               RequestOptions options)
{
    const std::size_t maxBytes = options.maxResponseBytes;
    auto response = co_await Private::exchange(d->m_pool, std::move(server), std::move(request),
                                               timeout, std::move(options));
    if (!response) {
        co_return response.error();
    }
    co_return co_await Private::collect(response.value(), maxBytes);
}

asio::awaitable<Result<std::unique_ptr<ResponseStream>>>
Client::open(Address server, Request request, Duration timeout, RequestOptions options)
{
    auto response = co_await Private::exchange(d->m_pool, std::move(server), std::move(request),
                                               timeout, std::move(options));
    if (!response) {
        co_return response.error();
    }
    response.value()->connection().deadline().disarm();
    co_return std::make_unique<PooledStream>(response.value());
}

} // namespace basilhall::http
