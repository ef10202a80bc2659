#include "standin/connection.h"

#include "standin/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::string_view kGarbage = "data: {\"choices\": [\xff\xfe<<< ;;\n\n";

std::string lowerCase(std::string_view text)
{
    std::string lowered(text);
    for (char &c : lowered) {
        c = beast::detail::ascii_tolower(c);
    }
    return lowered;
}

Request toRequest(http::request<http::string_body> &&message)
{
    Request request;
    request.method = message.method_string();
    const std::string target = message.target();
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    for (const auto &field : message) {
        request.headers.push_back({lowerCase(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace

class Connection::Private
{
public:
    Private(asio::ip::tcp::socket s, Handler h)
        : socket(std::move(s))
        , handler(std::move(h))
    {
    }

    [[noreturn]] void cutAndThrow()
    {
        close();
        throw boost::system::system_error(asio::error::connection_aborted);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        goneHandler = nullptr;
        open = false;
    }

    bool hasFault(FaultKind kind) const { return fault && fault->kind == kind; }

    asio::ip::tcp::socket socket;
    Handler handler;
    beast::flat_buffer buffer;
    Request request;
    std::optional<FaultRule> fault;
    std::function<void()> goneHandler;
    // Tells the watch of an earlier request from that of the current one.
    std::uint64_t requestNumber = 0;
    std::size_t sentBodyBytes = 0;
    bool answered = false;
    bool watching = false;
    bool gone = false;
    bool open = true;
    bool keepAlive = true;
};

Connection::Connection(asio::ip::tcp::socket socket, Handler handler)
    : d(std::make_unique<Private>(std::move(socket), std::move(handler)))
{
}

Connection::~Connection() = default;

asio::awaitable<void> Connection::run()
{
    while (d->open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBodyBytes);
        const auto [error, bytes] = co_await http::async_read(d->socket, d->buffer, parser,
                                                              asio::as_tuple(asio::use_awaitable));
        if (error == http::error::body_limit) {
            co_await respond(413, R"({"error":"the body is too large"})");
        }
        if (error) {
            break;
        }
        d->keepAlive = parser.keep_alive();
        d->request = toRequest(parser.release());
        d->fault.reset();
        d->goneHandler = nullptr;
        d->sentBodyBytes = 0;
        d->answered = false;
        d->gone = false;
        ++d->requestNumber;
        co_await d->handler(*this);
        d->goneHandler = nullptr;
        if (d->watching) {
            d->watching = false;
            boost::system::error_code ignored;
            d->socket.cancel(ignored);
        }
        if (!d->answered || !d->keepAlive) {
            break;
        }
    }
    d->close();
}

void Connection::setAnswerFault(const FaultRule &rule)
{
    d->fault = rule;
}

const Request &Connection::request() const
{
    return d->request;
}

asio::awaitable<void> Connection::respond(int status, std::string body)
{
    if (d->hasFault(FaultKind::DelayAfter)) {
        co_await sleepFor(std::chrono::milliseconds(d->fault->delayMs));
    }
    if (d->hasFault(FaultKind::DropAfter)) {
        d->cutAndThrow();
    }
    if (d->hasFault(FaultKind::Garble)) {
        body = kGarbage;
    }
    http::response<http::string_body> response;
    response.result(static_cast<unsigned>(status));
    response.version(11);
    response.set(http::field::content_type, "application/json");
    if (status == 429 || status == 503) {
        response.set(http::field::retry_after, "1");
    }
    response.keep_alive(d->keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    if (d->hasFault(FaultKind::Truncate)) {
        co_await http::async_write_header(d->socket, serializer, asio::use_awaitable);
        const std::string part = response.body().substr(0, d->fault->afterBytes);
        co_await asio::async_write(d->socket, asio::buffer(part), asio::use_awaitable);
        d->cutAndThrow();
    }
    co_await http::async_write(d->socket, serializer, asio::use_awaitable);
    d->answered = true;
}

asio::awaitable<void> Connection::beginStream(std::string contentType)
{
    if (d->hasFault(FaultKind::DropAfter)) {
        d->cutAndThrow();
    }
    http::response<http::empty_body> response;
    response.result(http::status::ok);
    response.version(11);
    response.set(http::field::content_type, contentType);
    response.keep_alive(d->keepAlive);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    co_await http::async_write_header(d->socket, serializer, asio::use_awaitable);
}

asio::awaitable<void> Connection::write(std::string bytes)
{
    if (!d->open) {
        d->cutAndThrow();
    }
    if (d->hasFault(FaultKind::Truncate) && d->sentBodyBytes >= d->fault->afterBytes) {
        d->cutAndThrow();
    }
    if (d->hasFault(FaultKind::Garble)) {
        bytes = kGarbage;
    }
    d->sentBodyBytes += bytes.size();
    const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
    co_await asio::async_write(d->socket, chunk, asio::use_awaitable);
}

asio::awaitable<void> Connection::endStream()
{
    if (!d->open) {
        d->cutAndThrow();
    }
    co_await asio::async_write(d->socket, http::make_chunk_last(), asio::use_awaitable);
    d->answered = true;
}

void Connection::onClientGone(std::function<void()> handler)
{
    d->goneHandler = std::move(handler);
    if (d->watching) {
        return;
    }
    d->watching = true;
    const std::uint64_t number = d->requestNumber;
    d->socket.async_wait(
        asio::socket_base::wait_read,
        [self = shared_from_this(), number](const boost::system::error_code &error) {
            if (error || !self->d->watching || number != self->d->requestNumber) {
                return;
            }
            self->d->watching = false;
            char byte = 0;
            boost::system::error_code peekError;
            self->d->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                                    peekError);
            if (!peekError) {
                return; // The next request is early; its client is still there.
            }
            self->d->gone = true;
            if (self->d->goneHandler) {
                self->d->goneHandler();
            }
        });
}

bool Connection::clientGone() const
{
    return d->gone || !d->open;
}

void Connection::cut()
{
    d->close();
}

} // namespace standin
