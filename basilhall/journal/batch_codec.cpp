#include "basilhall/journal/batch_codec.h"

#include <google/protobuf/io/coded_stream.h>

namespace basilhall::journal
{

namespace
{

constexpr std::size_t kNumberDigits = 20;

std::string paddedNumber(BatchNumber number)
{
    const std::string digits = std::to_string(number);
    return std::string(kNumberDigits - digits.size(), '0') + digits;
}

} // namespace

store::ObjectKey batchKey(const Incarnation &incarnation, BatchNumber number)
{
    return {kJournalKind, incarnation.value() + "." + paddedNumber(number)};
}

Batch makeBatch(const Incarnation &incarnation, BatchNumber number)
{
    Batch batch;
    batch.set_format_version(kFormatVersion);
    batch.set_incarnation(incarnation.value());
    batch.set_number(number);
    return batch;
}

Batch makeSeal(const Incarnation &incarnation, BatchNumber number, const Incarnation &sealedBy)
{
    Batch batch = makeBatch(incarnation, number);
    batch.set_sealed_by(sealedBy.value());
    return batch;
}

std::size_t encodedBytes(const Record &record)
{
    constexpr std::size_t kFieldTagBytes = 1;
    const std::size_t size = record.ByteSizeLong();
    const auto lengthBytes = google::protobuf::io::CodedOutputStream::VarintSize64(size);
    return kFieldTagBytes + lengthBytes + size;
}

std::string encodeBatch(const Batch &batch)
{
    return store::sealEnvelope(batch.SerializeAsString());
}

Result<Batch> decodeBatch(const store::ObjectKey &key, std::string_view data)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(key, data));
    Batch batch;
    if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return store::corruptObject(key, "does not hold a batch");
    }
    if (batch.format_version() > kFormatVersion) {
        return store::corruptObject(key, "has a newer format");
    }
    if (key != batchKey(Incarnation(batch.incarnation()), batch.number())) {
        return store::corruptObject(key, "holds a batch that belongs to another key");
    }
    return batch;
}

} // namespace basilhall::journal
