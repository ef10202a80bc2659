// Encodes the lists of registrations that gateways send each other.
//
//     const std::string content = encodeEndpoints(state.endpointListing(now), now);
//     Result<EndpointListing> decoded = decodeEndpoints(content, madeAt);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/fleet/evacuations.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/member.h"

#include <string>
#include <vector>

namespace basilhall::gateway
{

// The times for which endpoints are still cold count from `madeAt`, on the time line of the process
// that calls.
std::string encodeEndpoints(const EndpointListing &listing, Instant madeAt);
// Error Corrupt names the endpoint without a valid address.
Result<EndpointListing> decodeEndpoints(const std::string &content, Instant madeAt);

std::string encodeMembers(const std::vector<Member> &members);
// Error Corrupt as for fromWire().
Result<std::vector<Member>> decodeMembers(const std::string &content);

std::string encodeEvacuations(const fleet::Evacuations &evacuations);
// `version` is that of the document. Error Corrupt if the content cannot be decoded.
Result<fleet::Evacuations> decodeEvacuations(std::uint64_t version, const std::string &content);

} // namespace basilhall::gateway
