#include "basilhall/http/message.h"

#include <boost/beast/core/string.hpp>

namespace basilhall::http
{

std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (boost::beast::iequals(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

} // namespace basilhall::http
