// The response to one request of the HTTP client, read from its connection.
//
//     BOOST_OUTCOME_CO_TRYV(co_await response->readHeader());
//     auto part = co_await response->readPart();
//     response->finish();
#pragma once

#include "basilhall/http/client.h"
#include "basilhall/http/internal/connection_pool.h"

#include <array>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace basilhall::http
{

// Shared by the stream that the caller holds and the operations in progress. Not thread-safe.
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
    // Discards the rest of this response and prepares for the next one on the connection.
    // EndpointFailed if the server closes the connection after this response.
    boost::asio::awaitable<Result<void>> skip();
    // Returns the connection to the pool if the response has been read completely and the server
    // keeps the connection open; closes it otherwise.
    void finish();

private:
    void resetParser();

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    static constexpr std::size_t kPartBytes = 16 * 1024;

    std::shared_ptr<ConnectionPool> m_pool;
    std::shared_ptr<ClientConnection> m_connection;
    const bool m_headOnly;
    std::unique_ptr<Parser> m_parser;
    int m_status = 0;
    Headers m_headers;
    // The next part of the body. Not in the frame of readPart(), which is allocated for each part.
    std::array<char, kPartBytes> m_part;
    bool m_finished = false;
};

} // namespace basilhall::http
