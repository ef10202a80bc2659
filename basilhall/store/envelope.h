// The header in front of the content of every object in the object API: a format version and a
// checksum, which expose objects that are truncated, edited or in a newer format.
//
//     const std::string data = sealEnvelope(payload);
//     Result<std::string_view> back = openEnvelope(key, data);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/store/object_key.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace basilhall::store
{

// Number of bytes that sealEnvelope adds to a payload.
inline constexpr std::size_t kEnvelopeBytes = 36;

// Returns `payload` with the header in front. Thread-safe.
std::string sealEnvelope(std::string_view payload);

// Returns the payload inside `data`, which must outlive the result. Corrupt with the name of
// `key` if the data has another format, is truncated or was edited. Thread-safe.
Result<std::string_view> openEnvelope(const ObjectKey &key, std::string_view data);

// Returns the error for an object whose content cannot be used.
Error corruptObject(const ObjectKey &key, std::string_view reason);

} // namespace basilhall::store
