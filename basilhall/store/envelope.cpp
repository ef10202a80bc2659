#include "basilhall/store/envelope.h"

#include "basilhall/base/sha256.h"

namespace basilhall::store
{

namespace
{

constexpr std::string_view kMagicPrefix = "bh";
constexpr std::string_view kMagic = "bh01";
constexpr std::size_t kChecksumBytes = kEnvelopeBytes - kMagic.size();

std::string checksum(std::string_view payload)
{
    return sha256Hex(payload).substr(0, kChecksumBytes);
}

} // namespace

std::string sealEnvelope(std::string_view payload)
{
    std::string data(kMagic);
    data += checksum(payload);
    data += payload;
    return data;
}

Result<std::string_view> openEnvelope(const ObjectKey &key, std::string_view data)
{
    if (data.size() < kEnvelopeBytes) {
        return corruptObject(key, "is truncated");
    }
    if (!data.starts_with(kMagic)) {
        const bool isNewer = data.starts_with(kMagicPrefix);
        return corruptObject(key, isNewer ? "has a newer format" : "is not an object of basilhall");
    }
    const std::string_view payload = data.substr(kEnvelopeBytes);
    if (data.substr(kMagic.size(), kChecksumBytes) != checksum(payload)) {
        return corruptObject(key, "is truncated or was edited: its checksum does not match");
    }
    return payload;
}

Error corruptObject(const ObjectKey &key, std::string_view reason)
{
    return Error(ErrorKind::Corrupt,
                 "object \"" + key.kind + "/" + key.name + "\" " + std::string(reason));
}

} // namespace basilhall::store
