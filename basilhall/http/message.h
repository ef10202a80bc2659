// HTTP messages, independent of the library that transports them.
//
//     Request request{.method = "GET", .target = "/livez", .headers = {}, .body = {}};
//     const auto retryAfter = findHeader(response.headers, "Retry-After");
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::http
{

// One header field. Immutable value.
struct Header {
    std::string name;
    std::string value;
    auto operator<=>(const Header &) const = default;
};

using Headers = std::vector<Header>;

// Returns the value of the first field named `name`, ignoring case, if any.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);

struct Request {
    std::string method;
    // Path and query.
    std::string target;
    Headers headers;
    std::string body;
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

} // namespace basilhall::http
