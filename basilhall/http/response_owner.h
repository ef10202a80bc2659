// Whose response a client has read from a connection.
#pragma once

namespace basilhall::http
{

enum class ResponseOwner {
    ThisRequest,
    OtherRequest,
    // The headers do not tell.
    Unknown,
};

} // namespace basilhall::http
