#include "standin/request.h"

namespace standin
{

std::string Request::header(std::string_view name) const
{
    for (const HeaderField &field : headers) {
        if (field.name == name) {
            return field.value;
        }
    }
    return {};
}

std::string Request::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : std::string(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

} // namespace standin
