// Text that its author declares free of keys, prompts and answers.
#pragma once

#include <string_view>

namespace basilhall::logging
{

// Refers to the text, which must outlive it. At most kMaxLength characters are logged.
class PublicText
{
public:
    static constexpr std::size_t kMaxLength = 200;

    explicit PublicText(std::string_view text)
        : m_text(text.substr(0, kMaxLength))
    {
    }

    std::string_view text() const { return m_text; }

private:
    std::string_view m_text;
};

} // namespace basilhall::logging
