// Implements Exchange on a server connection.
#pragma once

#include "basilhall/http/exchange.h"
#include "basilhall/http/internal/codec.h"

#include <memory>
#include <string>

namespace basilhall::http
{

class Connection;

// Not thread-safe.
class ServerExchange : public Exchange
{
public:
    ServerExchange(std::shared_ptr<Connection> connection, Request request, ResponseFormat format);

    const Request &request() const override { return m_request; }
    std::string clientAddress() const override { return m_clientAddress; }
    boost::asio::awaitable<Result<void>> respond(Response response) override;
    boost::asio::awaitable<Result<void>> beginStream(int status, Headers headers) override;
    boost::asio::awaitable<Result<void>> write(std::string bytes) override;
    boost::asio::awaitable<Result<void>> endStream() override;
    void onClientGone(std::function<void()> handler) override;
    void abort() override;

    bool hasBegun() const { return m_begun; }
    bool isComplete() const { return m_complete; }
    bool keepsConnection() const { return m_format.keepAlive; }
    // Releases the connection; later calls fail with ConnectionLost.
    void detach() { m_connection.reset(); }

private:
    bool usesChunks() const { return m_format.version >= 11; }
    Result<std::shared_ptr<Connection>> beginResponse();
    Result<std::shared_ptr<Connection>> streamConnection() const;

    std::shared_ptr<Connection> m_connection;
    const Request m_request;
    const std::string m_clientAddress;
    ResponseFormat m_format;
    bool m_begun = false;
    bool m_streaming = false;
    bool m_complete = false;
};

} // namespace basilhall::http
