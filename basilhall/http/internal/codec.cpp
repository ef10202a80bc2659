#include "basilhall/http/internal/codec.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace basilhall::http
{

namespace beast = boost::beast;

namespace
{

constexpr unsigned kHttp11 = 11;

bool isUpper(char c)
{
    return c >= 'A' && c <= 'Z';
}

// Returns true for header fields that the message framing sets.
bool isFramingField(std::string_view name)
{
    return beast::iequals(name, "content-length") || beast::iequals(name, "transfer-encoding")
        || beast::iequals(name, "connection");
}

template<typename Message>
void copyHeaders(const Headers &headers, Message &message)
{
    for (const Header &header : headers) {
        if (!isFramingField(header.name) && isSafeText(header.name) && isSafeText(header.value)) {
            message.insert(header.name, header.value);
        }
    }
}

template<bool isRequest>
std::string serialize(beast::http::message<isRequest, beast::http::string_body> &message,
                      bool headOnly)
{
    beast::http::serializer<isRequest, beast::http::string_body> serializer(message);
    serializer.split(headOnly);
    std::string bytes;
    beast::error_code error;
    while (!serializer.is_done() && !(headOnly && serializer.is_header_done())) {
        serializer.next(error, [&](beast::error_code &, const auto &buffers) {
            std::size_t size = 0;
            for (const auto buffer : beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            serializer.consume(size);
        });
        if (error) {
            break;
        }
    }
    return bytes;
}

beast::http::response<beast::http::string_body> responseHeader(int status, const Headers &headers,
                                                               ResponseFormat format)
{
    beast::http::response<beast::http::string_body> message;
    message.result(static_cast<unsigned>(status));
    message.version(format.version);
    copyHeaders(headers, message);
    message.keep_alive(format.keepAlive);
    return message;
}

} // namespace

bool isSafeText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

Headers toHeaders(const beast::http::fields &fields)
{
    Headers headers;
    for (const auto &field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

std::string encodeResponse(const Response &response, ResponseFormat format)
{
    auto message = responseHeader(response.status, response.headers, format);
    message.content_length(response.body.size());
    message.body() = response.body;
    return serialize(message, format.headOnly);
}

std::string encodeStreamHeader(int status, const Headers &headers, ResponseFormat format)
{
    auto message = responseHeader(status, headers, format);
    if (format.version >= kHttp11) {
        message.chunked(true);
    }
    return serialize(message, true);
}

std::string encodeChunk(std::string_view bytes)
{
    std::array<char, 20> digits{};
    const auto [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16);
    std::string chunk(digits.data(), end);
    chunk.reserve(chunk.size() + bytes.size() + 4);
    chunk.append("\r\n").append(bytes).append("\r\n");
    return chunk;
}

Result<std::string> encodeRequest(const Request &request, std::string_view host)
{
    const bool hasSpace = request.target.find(' ') != std::string::npos;
    if (request.target.empty() || hasSpace || !isSafeText(request.target)) {
        return Error(ErrorKind::InvalidRequest, "request target is empty or malformed")
            .withNotRun();
    }
    if (request.method.empty()
        || !std::all_of(request.method.begin(), request.method.end(), isUpper)) {
        return Error(ErrorKind::InvalidRequest, "request method is malformed").withNotRun();
    }
    for (const Header &header : request.headers) {
        if (!isSafeText(header.name) || !isSafeText(header.value)) {
            return Error(ErrorKind::InvalidRequest, "request header field is malformed")
                .withNotRun();
        }
    }
    beast::http::request<beast::http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(kHttp11);
    copyHeaders(request.headers, message);
    if (message.find(beast::http::field::host) == message.end()) {
        message.set(beast::http::field::host, host);
    }
    message.body() = request.body;
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        message.content_length(request.body.size());
    }
    return serialize(message, false);
}

Response errorResponse(const Error &error, int status)
{
    boost::json::object inner{{"kind", errorTraits(error.kind()).name},
                              {"message", error.message()}};
    if (error.notRun()) {
        inner["not_run"] = true;
    }
    Response response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = boost::json::serialize(boost::json::object{{"error", std::move(inner)}});
    return response;
}

} // namespace basilhall::http
