// One object of the audit trail. There are kBuckets of them whatever the number of hosts; each host
// writes to the one that its name hashes to.
#pragma once

#include "basilhall/audit/record.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/store/object_key.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::audit
{

inline constexpr std::size_t kBuckets = 32;

// Bound of one bucket. Beyond it, the oldest records that a manifest is in force go first, then
// the oldest of all.
inline constexpr std::size_t kMaxBucketBytes = 256 * 1024;

std::size_t bucketOf(const HostName &host);
// Returns `audits/<number>`.
store::ObjectKey bucketKey(std::size_t number);

// Returns the content of the object, with its frame, cut to kMaxBucketBytes.
std::string encodeBucket(std::vector<Record> records);
// Corrupt names the object.
Result<std::vector<Record>> decodeBucket(const store::ObjectKey &key, std::string_view data);

} // namespace basilhall::audit
