#include "basilhall/base/address.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace basilhall
{

namespace
{

Error badAddress(std::string_view text)
{
    return Error(ErrorKind::InvalidRequest,
                 "address \"" + std::string(text) + "\" is not an IP number with a port");
}

bool isIpNumber(const std::string &ip)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, ip.c_str(), parsed.data()) == 1
        || inet_pton(AF_INET6, ip.c_str(), parsed.data()) == 1;
}

bool isBracketed(std::string_view host)
{
    return host.size() >= 2 && host.front() == '[' && host.back() == ']';
}

} // namespace

Result<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return badAddress(text);
    }
    std::string_view host = text.substr(0, colon);
    if (isBracketed(host)) {
        host = host.substr(1, host.size() - 2);
    }
    Address address{std::string(host), 0};
    const std::string_view digits = text.substr(colon + 1);
    const char *const end = digits.data() + digits.size();
    const auto [parsedEnd, status] = std::from_chars(digits.data(), end, address.port);
    if (status != std::errc() || parsedEnd != end || !isIpNumber(address.ip)) {
        return badAddress(text);
    }
    return address;
}

std::string toString(const Address &address)
{
    const bool isV6 = address.ip.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace basilhall
