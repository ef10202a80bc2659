#include "basilhall/agent/dispatch_stream.h"
#include "basilhall/transport/internal/message_codec.h"
#include "basilhall/wire/error_codec.h"

#include <cstdint>
#include <cstdlib>

// The first byte chooses the message: what a peer sends is taken or refused, never a crash, and
// what is taken survives being sent on.
namespace
{

using namespace basilhall;

template<typename Message>
bool survives(std::string_view text)
{
    Message message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size()))) {
        return false;
    }
    Message again;
    if (!again.ParseFromString(message.SerializeAsString())) {
        std::abort();
    }
    return true;
}

void readReplies(std::string_view text)
{
    transport::MessageReader reader;
    if (!reader.feed(text)) {
        return;
    }
    std::string again;
    while (const auto message = reader.take()) {
        transport::appendMessage(again, *message);
    }
    if (!text.starts_with(again)) {
        std::abort();
    }
}

void readDispatch(std::string_view text)
{
    wire::DispatchRequest request;
    if (request.ParseFromArray(text.data(), static_cast<int>(text.size()))
        && agent::checkRequest(request)) {
        (void)agent::toDispatch(request, Instant(std::chrono::hours(1)));
    }
}

void readError(std::string_view text)
{
    wire::ErrorReply reply;
    if (reply.ParseFromArray(text.data(), static_cast<int>(text.size()))) {
        (void)wire::toReply(wire::fromReply(reply));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    constexpr unsigned kKinds = 8;
    switch (data[0] % kKinds) {
    case 0:
        readReplies(text);
        break;
    case 1:
        readDispatch(text);
        break;
    case 2:
        readError(text);
        break;
    case 3:
        survives<wire::CallRequest>(text);
        break;
    case 4:
        survives<wire::CallReply>(text);
        break;
    case 5:
        survives<wire::DispatchReply>(text);
        break;
    case 6:
        survives<wire::LoadReport>(text);
        break;
    default:
        survives<wire::ResolveReply>(text);
        break;
    }
    return 0;
}
