#include "standin/caller/http_session.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::uint64_t kMaxAnswerBytes = 64 * 1024 * 1024;

http::request<http::string_body> toMessage(const Request &request, const std::string &host)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, host);
    for (const HeaderField &field : request.headers) {
        message.set(field.name, field.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

Reply toReply(http::response<http::string_body> &&message)
{
    Reply reply;
    reply.status = static_cast<int>(message.result_int());
    reply.contentType = message[http::field::content_type];
    const std::string seconds = message[http::field::retry_after];
    int value = 0;
    if (std::from_chars(seconds.data(), seconds.data() + seconds.size(), value).ec == std::errc()) {
        reply.retryAfter = value;
    }
    reply.body = std::move(message.body());
    return reply;
}

} // namespace

class HttpSession::Private
{
public:
    Private(const asio::any_io_executor &executor, const std::string &ip, std::uint16_t port,
            std::chrono::milliseconds t)
        : stream(executor)
        , endpoint(asio::ip::make_address(ip), port)
        , host(ip + ":" + std::to_string(port))
        , timeout(t)
    {
    }

    asio::awaitable<Reply> exchange(const Request &request)
    {
        stream.expires_after(timeout);
        if (!connected) {
            co_await stream.async_connect(endpoint, asio::use_awaitable);
            stream.socket().set_option(tcp::no_delay(true));
            connected = true;
        }
        const auto message = toMessage(request, host);
        sent = true;
        co_await http::async_write(stream, message, asio::use_awaitable);
        http::response_parser<http::string_body> parser;
        parser.body_limit(kMaxAnswerBytes);
        co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
        if (!parser.keep_alive()) {
            disconnect();
        }
        co_return toReply(parser.release());
    }

    void disconnect()
    {
        stream.close();
        buffer.clear();
        connected = false;
    }

    beast::tcp_stream stream;
    tcp::endpoint endpoint;
    std::string host;
    std::chrono::milliseconds timeout;
    beast::flat_buffer buffer;
    bool connected = false;
    // The call in progress has been sent, at least in part.
    bool sent = false;
};

HttpSession::HttpSession(const asio::any_io_executor &executor, std::string ip, std::uint16_t port,
                         std::chrono::milliseconds timeout)
    : d(std::make_unique<Private>(executor, ip, port, timeout))
{
}

HttpSession::~HttpSession() = default;

asio::awaitable<Reply> HttpSession::send(const Request &request)
{
    Reply failed;
    d->sent = false;
    try {
        co_return co_await d->exchange(request);
    } catch (const boost::system::system_error &error) {
        failed.body = error.what();
        failed.cut = d->sent;
    }
    d->disconnect();
    co_return failed;
}

} // namespace standin
