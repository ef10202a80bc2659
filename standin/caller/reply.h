// The answer to one HTTP call of the caller.
#pragma once

#include <optional>
#include <string>

namespace standin
{

struct Reply {
    // 0 if the connection failed before the whole answer was there; `body` says how then.
    int status = 0;
    // True if the call was sent and its answer did not come whole.
    bool cut = false;
    std::string contentType;
    // Value of Retry-After in seconds.
    std::optional<int> retryAfter;
    std::string body;
};

} // namespace standin
