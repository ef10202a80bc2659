// An error as a value: kind, message that names the offender, whether the call is known not to
// have run, and when to come back.
//
//     return Error(ErrorKind::NotFound, "model \"x\" does not exist").withNotRun();
#pragma once

#include "basilhall/base/error_kind.h"
#include "basilhall/base/time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace basilhall
{

// Immutable value.
class Error
{
public:
    Error(ErrorKind kind, std::string_view message);

    // Returns a copy that states that no copy of the call has run or can run later.
    [[nodiscard]] Error withNotRun() const;
    // Returns a copy that tells the caller when to come back.
    [[nodiscard]] Error withRetryAfter(Duration delay) const;

    ErrorKind kind() const { return m_kind; }
    const std::string &message() const { return m_message; }
    bool notRun() const { return m_notRun; }
    std::optional<Duration> retryAfter() const { return m_retryAfter; }

    bool operator==(const Error &) const = default;

private:
    ErrorKind m_kind;
    std::string m_message;
    bool m_notRun = false;
    std::optional<Duration> m_retryAfter;
};

} // namespace basilhall
