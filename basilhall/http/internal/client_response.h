// The answer to one request of the HTTP client, read from its connection.
#pragma once

#include "basilhall/http/client.h"
#include "basilhall/http/internal/connection_pool.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace basilhall::http
{

// Shared by the stream that the caller holds and the operations in progress.
class ClientResponse : public std::enable_shared_from_this<ClientResponse>
{
public:
    ClientResponse(std::shared_ptr<ConnectionPool> pool,
                   std::shared_ptr<ClientConnection> connection, bool headOnly);

    // Reads the header under the deadline of the connection.
    boost::asio::awaitable<Result<void>> readHeader();
    int status() const { return m_status; }
    const Headers &headers() const { return m_headers; }
    // Reads the next part of the body under the deadline of the connection.
    boost::asio::awaitable<Result<std::optional<std::string>>> readPart();
    ClientConnection &connection() { return *m_connection; }
    // Reads the rest of this answer and makes ready for the next one on the connection.
    // EndpointFailed if the connection ends with it.
    boost::asio::awaitable<Result<void>> skip();
    // Gives a connection that has carried its whole answer back to the pool, closes it otherwise.
    void finish();

private:
    void beginAnswer();

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    std::shared_ptr<ConnectionPool> m_pool;
    std::shared_ptr<ClientConnection> m_connection;
    const bool m_headOnly;
    std::unique_ptr<Parser> m_parser;
    int m_status = 0;
    Headers m_headers;
    bool m_finished = false;
};

} // namespace basilhall::http
