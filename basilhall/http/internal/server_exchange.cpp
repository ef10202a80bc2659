#include "basilhall/http/internal/server_exchange.h"

#include "basilhall/http/internal/connection.h"

namespace basilhall::http
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace

ServerExchange::ServerExchange(std::shared_ptr<Connection> connection, Request request,
                               ResponseFormat format)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_clientAddress(m_connection->clientAddress())
    , m_format(format)
{
}

Result<std::shared_ptr<Connection>> ServerExchange::beginResponse()
{
    if (m_begun) {
        return Error(ErrorKind::Internal, "request already has a response");
    }
    if (!m_connection) {
        return Error(ErrorKind::ConnectionLost, "client connection is closed");
    }
    m_begun = true;
    if (m_connection->isDraining()) {
        m_format.keepAlive = false;
    }
    return m_connection;
}

Result<std::shared_ptr<Connection>> ServerExchange::streamConnection() const
{
    if (!m_connection) {
        return Error(ErrorKind::ConnectionLost, "client connection is closed");
    }
    if (!m_streaming) {
        return Error(ErrorKind::Internal, "response is not a stream or has already ended");
    }
    return m_connection;
}

asio::awaitable<Result<void>> ServerExchange::respond(Response response)
{
    const auto connection = beginResponse();
    if (!connection) {
        co_return connection.error();
    }
    Result<void> sent = co_await connection.value()->write(encodeResponse(response, m_format));
    m_complete = sent.has_value();
    co_return sent;
}

asio::awaitable<Result<void>> ServerExchange::beginStream(int status, Headers headers)
{
    const auto connection = beginResponse();
    if (!connection) {
        co_return connection.error();
    }
    m_streaming = true;
    if (!usesChunks()) {
        m_format.keepAlive = false;
    }
    co_return co_await connection.value()->write(encodeStreamHeader(status, headers, m_format));
}

asio::awaitable<Result<void>> ServerExchange::write(std::string bytes)
{
    const auto connection = streamConnection();
    if (!connection) {
        co_return connection.error();
    }
    if (bytes.empty() || m_format.headOnly) {
        co_return success();
    }
    if (!usesChunks()) {
        co_return co_await connection.value()->write(std::move(bytes));
    }
    co_return co_await connection.value()->write(encodeChunk(bytes));
}

asio::awaitable<Result<void>> ServerExchange::endStream()
{
    const auto connection = streamConnection();
    if (!connection) {
        co_return connection.error();
    }
    m_streaming = false;
    Result<void> sent = success();
    if (usesChunks() && !m_format.headOnly) {
        sent = co_await connection.value()->write(std::string(kLastChunk));
    }
    m_complete = sent.has_value();
    co_return sent;
}

void ServerExchange::onClientGone(std::function<void()> handler)
{
    if (!m_connection) {
        handler();
        return;
    }
    m_connection->onClientGone(std::move(handler));
}

void ServerExchange::abort()
{
    m_begun = true;
    m_streaming = false;
    if (m_connection) {
        m_connection->close();
    }
}

} // namespace basilhall::http
