#include "basilhall/gateway/member.h"

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/store/envelope.h"

namespace basilhall::gateway
{

wire::Member toWire(const Member &member)
{
    wire::Member message;
    message.set_host(member.host.value());
    message.set_incarnation(member.incarnation.value());
    message.set_address(toString(member.address));
    message.set_failure_domain(member.failureDomain.value());
    message.set_processor_millis(member.processorMillis);
    return message;
}

Result<Member> fromWire(const wire::Member &message)
{
    const Result<Address> address = parseAddress(message.address());
    if (!address || message.host().empty()) {
        return Error(ErrorKind::Corrupt,
                     "member \"" + message.host() + "\" has no host or no valid address");
    }
    return Member{HostName(message.host()), Incarnation(message.incarnation()), address.value(),
                  FailureDomain(message.failure_domain()), message.processor_millis()};
}

std::string encodeMember(const Member &member)
{
    return store::sealEnvelope(toWire(member).SerializeAsString());
}

Result<Member> decodeMember(const store::ObjectKey &key, std::string_view data)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(key, data));
    wire::Member message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return store::corruptObject(key, "does not contain a member");
    }
    if (message.host() != key.name) {
        return store::corruptObject(key, "does not contain the member of the host in its name");
    }
    return fromWire(message);
}

} // namespace basilhall::gateway
