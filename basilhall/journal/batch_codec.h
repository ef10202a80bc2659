// Keys, encoding and validation of journal batches, which are stored in the objects
// `journals/<incarnation>.<number>`.
//
//     const store::ObjectKey key = batchKey(incarnation, 7);
//     const std::string data = encodeBatch(batch);
//     Result<Batch> back = decodeBatch(key, data); // Corrupt names the object
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/journal/record.pb.h"
#include "basilhall/store/envelope.h"
#include "basilhall/store/object.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace basilhall::journal
{

// Position of a batch in the journal of one incarnation, starting at 1.
using BatchNumber = std::uint64_t;

// Version of the format that this build writes. Readers refuse a higher version.
inline constexpr std::uint32_t kFormatVersion = 1;

// Kind of the objects that hold journal batches.
inline constexpr const char *kJournalKind = "journals";

// Bytes reserved in every object for the fields of Batch other than its records.
inline constexpr std::size_t kBatchReservedBytes = 4 * 1024;

// Maximum total size of the encoded records of one batch in bytes, and thus the maximum size of one
// record.
inline constexpr std::size_t kMaxBatchBytes =
    store::kMaxObjectBytes - store::kEnvelopeBytes - kBatchReservedBytes;

// Returns `journals/<incarnation>.<number with 20 digits>`.
store::ObjectKey batchKey(const Incarnation &incarnation, BatchNumber number);

// Returns an empty batch of `incarnation` at `number`.
Batch makeBatch(const Incarnation &incarnation, BatchNumber number);

// Returns the seal, the batch that ends the journal of `incarnation` at `number`.
Batch makeSeal(const Incarnation &incarnation, BatchNumber number, const Incarnation &sealedBy);

// Returns the number of bytes that `record` takes in a batch.
std::size_t encodedBytes(const Record &record);

// Returns the content of the object that holds `batch`.
std::string encodeBatch(const Batch &batch);

// Returns the batch in `data`. Returns Corrupt, which names `key`, if the content is truncated or
// modified, has a newer format, or belongs to another key.
Result<Batch> decodeBatch(const store::ObjectKey &key, std::string_view data);

} // namespace basilhall::journal
