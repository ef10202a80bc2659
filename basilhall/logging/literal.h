// Text that stands in the source code, as opposed to text that came from a caller.
#pragma once

#include <cstddef>
#include <string_view>

namespace basilhall::logging
{

// Only a string literal converts to it, at compile time. Immutable value.
class Literal
{
public:
    template<std::size_t Size>
    // NOLINTNEXTLINE(google-explicit-constructor): the conversion is the purpose.
    consteval Literal(const char (&text)[Size])
        : m_text(text, Size - 1)
    {
    }

    constexpr std::string_view text() const { return m_text; }

private:
    std::string_view m_text;
};

} // namespace basilhall::logging
