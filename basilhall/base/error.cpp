#include "basilhall/base/error.h"

namespace basilhall
{

Error::Error(ErrorKind kind, std::string_view message)
    : m_kind(kind)
    , m_message(message)
{
}

Error Error::withNotRun() const
{
    Error copy = *this;
    copy.m_notRun = true;
    return copy;
}

Error Error::withRetryAfter(Duration delay) const
{
    Error copy = *this;
    copy.m_retryAfter = delay;
    return copy;
}

} // namespace basilhall
