#include "basilhall/gateway/registration_codec.h"

#include "basilhall/gateway/gateway.pb.h"

namespace basilhall::gateway
{

std::string encodeEndpoints(const EndpointListing &listing, Instant madeAt)
{
    wire::EndpointList list;
    list.set_grace_left_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(listing.graceLeft).count()));
    for (const fleet::Endpoint &endpoint : listing.endpoints) {
        wire::Endpoint &entry = *list.add_endpoints();
        entry.set_name(endpoint.name.value());
        entry.set_service(endpoint.service);
        entry.set_address(toString(endpoint.address));
        entry.set_failure_domain(endpoint.failureDomain.value());
        entry.set_slots(endpoint.slots);
        entry.set_leaving(endpoint.isLeaving);
        entry.set_started_wall_ms(endpoint.startedAt);
        entry.set_version(endpoint.version);
        if (endpoint.coldUntil > madeAt) {
            // Rounded up, so that an endpoint that is cold does not count as warm.
            entry.set_cold_remaining_ms(static_cast<std::uint32_t>(
                std::chrono::ceil<std::chrono::milliseconds>(endpoint.coldUntil - madeAt).count()));
        }
    }
    return list.SerializeAsString();
}

Result<EndpointListing> decodeEndpoints(const std::string &content, Instant madeAt)
{
    wire::EndpointList list;
    if (!list.ParseFromString(content)) {
        return Error(ErrorKind::Corrupt, "a list of endpoints cannot be decoded");
    }
    EndpointListing listing;
    listing.graceLeft = std::chrono::milliseconds(list.grace_left_ms());
    for (const wire::Endpoint &entry : list.endpoints()) {
        const Result<Address> address = parseAddress(entry.address());
        if (!address) {
            return Error(ErrorKind::Corrupt,
                         "endpoint \"" + entry.name() + "\" in a list has no valid address");
        }
        const Instant coldUntil = entry.cold_remaining_ms() == 0
            ? Instant::min()
            : madeAt + std::chrono::milliseconds(entry.cold_remaining_ms());
        listing.endpoints.push_back({EndpointName(entry.name()), entry.service(), address.value(),
                                     FailureDomain(entry.failure_domain()), entry.slots(),
                                     entry.leaving(), entry.started_wall_ms(), entry.version(),
                                     coldUntil});
    }
    return listing;
}

std::string encodeMembers(const std::vector<Member> &members)
{
    wire::MemberList list;
    for (const Member &member : members) {
        *list.add_members() = toWire(member);
    }
    return list.SerializeAsString();
}

Result<std::vector<Member>> decodeMembers(const std::string &content)
{
    wire::MemberList list;
    if (!list.ParseFromString(content)) {
        return Error(ErrorKind::Corrupt, "a list of gateways cannot be decoded");
    }
    std::vector<Member> members;
    for (const wire::Member &entry : list.members()) {
        BOOST_OUTCOME_TRY(Member member, fromWire(entry));
        members.push_back(std::move(member));
    }
    return members;
}

std::string encodeEvacuations(const fleet::Evacuations &evacuations)
{
    wire::EvacuationList list;
    for (const FailureDomain &domain : evacuations.domains) {
        list.add_failure_domains(domain.value());
    }
    return list.SerializeAsString();
}

Result<fleet::Evacuations> decodeEvacuations(std::uint64_t version, const std::string &content)
{
    wire::EvacuationList list;
    if (!list.ParseFromString(content)) {
        return Error(ErrorKind::Corrupt, "a list of evacuations cannot be decoded");
    }
    fleet::Evacuations evacuations;
    evacuations.revision = version;
    for (const std::string &domain : list.failure_domains()) {
        evacuations.domains.emplace(domain);
    }
    return evacuations;
}

} // namespace basilhall::gateway
