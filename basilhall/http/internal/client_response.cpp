#include "basilhall/http/internal/client_response.h"

#include "basilhall/http/internal/codec.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/none.hpp>
#include <charconv>

namespace basilhall::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;
constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kMaxSkippedBytes = 1024 * 1024;
// The idle timeout of the server starts before the response arrives at the client.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);
constexpr std::string_view kTimeoutParameter = "timeout=";

// Returns how long the server keeps the idle connection open, less a margin, or nullopt if the
// headers do not say.
std::optional<Duration> keepAliveTime(const Headers &headers)
{
    const std::string_view text = findHeader(headers, "Keep-Alive").value_or("");
    const std::size_t at = text.find(kTimeoutParameter);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view number = text.substr(at + kTimeoutParameter.size());
    int seconds = 0;
    std::from_chars(number.data(), number.data() + number.size(), seconds);
    return std::max(Duration(std::chrono::seconds(seconds)) - kKeepAliveMargin, Duration::zero());
}

} // namespace

ClientResponse::ClientResponse(std::shared_ptr<ConnectionPool> pool,
                               std::shared_ptr<ClientConnection> connection, bool headOnly)
    : m_pool(std::move(pool))
    , m_connection(std::move(connection))
    , m_headOnly(headOnly)
{
    resetParser();
}

void ClientResponse::resetParser()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(kMaxHeaderBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_headOnly);
}

asio::awaitable<Result<void>> ClientResponse::readHeader()
{
    const auto self = shared_from_this();
    // A read takes what the buffer has room for, which would be 512 bytes.
    m_connection->buffer().reserve(kPartBytes);
    const auto [error, bytes] = co_await beast::http::async_read_header(
        m_connection->socket(), m_connection->buffer(), *m_parser, kTuple);
    if (error) {
        co_return m_connection->failureOf("reading the answer header");
    }
    m_status = static_cast<int>(m_parser->get().result_int());
    if (m_status < kFirstFinalStatus) {
        co_return Error(ErrorKind::EndpointFailed,
                        "interim status " + std::to_string(m_status) + " is not supported");
    }
    m_headers = toHeaders(m_parser->get());
    co_return success();
}

asio::awaitable<Result<std::optional<std::string>>> ClientResponse::readPart()
{
    const auto self = shared_from_this();
    while (true) {
        // Without a length, only the regular end of the connection shows that the body is complete.
        if (m_parser->is_done()) {
            if (m_parser->need_eof() && m_connection->wasReset()) {
                co_return m_connection->failureOf("reading the answer body");
            }
            co_return std::optional<std::string>();
        }
        auto &body = m_parser->get().body();
        body.data = m_part.data();
        body.size = m_part.size();
        auto [error, bytes] = co_await beast::http::async_read_some(
            m_connection->socket(), m_connection->buffer(), *m_parser, kTuple);
        if (error && error != beast::http::error::need_buffer) {
            co_return m_connection->failureOf("reading the answer body");
        }
        const std::size_t size = m_part.size() - m_parser->get().body().size;
        if (size > 0) {
            co_return std::string(m_part.data(), size);
        }
    }
}

asio::awaitable<Result<void>> ClientResponse::skip()
{
    std::size_t skipped = 0;
    while (true) {
        const auto part = co_await readPart();
        if (!part) {
            co_return part.error();
        }
        if (!part.value()) {
            break;
        }
        skipped += part.value()->size();
        if (skipped > kMaxSkippedBytes) {
            co_return Error(ErrorKind::EndpointFailed,
                            "the response to another request is larger than 1 MiB");
        }
    }
    if (!m_parser->keep_alive()) {
        co_return Error(ErrorKind::EndpointFailed,
                        "connection closed after the response to another request");
    }
    resetParser();
    co_return success();
}

void ClientResponse::finish()
{
    if (std::exchange(m_finished, true)) {
        return;
    }
    m_connection->deadline().disarm();
    if (m_parser->is_done() && m_parser->keep_alive() && m_connection->buffer().size() == 0) {
        m_pool->release(m_connection, keepAliveTime(m_headers));
    } else {
        m_connection->cancel();
    }
}

} // namespace basilhall::http
