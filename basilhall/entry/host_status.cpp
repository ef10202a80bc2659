#include "basilhall/entry/host_status.h"

#include <boost/json.hpp>

namespace basilhall::entry
{

namespace json = boost::json;

namespace
{

std::string_view stateName(membership::HostState state)
{
    switch (state) {
    case membership::HostState::Live:
        return "live";
    case membership::HostState::Suspect:
        return "suspect";
    case membership::HostState::Dead:
        return "dead";
    case membership::HostState::Leaving:
        return "leaving";
    }
    return "unknown";
}

json::object peerObject(const membership::EntryHost &peer)
{
    return {{"host", peer.host.value()},
            {"address", toString(peer.address)},
            {"state", stateName(peer.state)}};
}

json::object endpointObject(const wire::LoadReport &report)
{
    return {{"endpoint", report.endpoint()},
            {"incarnation", report.incarnation()},
            {"running", report.running()},
            {"queued", report.queued()},
            {"capacity", report.capacity()},
            {"draining", report.draining()},
            {"healthy", report.endpoint_healthy()},
            {"manifest_generation", report.manifest_generation()}};
}

} // namespace

std::string toJson(const HostStatus &status)
{
    json::array peers;
    for (const membership::EntryHost &peer : status.peers) {
        peers.push_back(peerObject(peer));
    }
    json::array endpoints;
    for (const wire::LoadReport &report : status.endpoints) {
        endpoints.push_back(endpointObject(report));
    }
    const json::object document{{"role", "entry"},
                                {"host", status.host.value()},
                                {"incarnation", status.incarnation.value()},
                                {"manifest_generation", status.manifestGeneration},
                                {"draining", status.isDraining},
                                {"owned_shards", status.ownedShards},
                                {"programs", status.programs},
                                {"calls_in_progress", status.callsInProgress},
                                {"journal_pending_bytes", status.journalPendingBytes},
                                {"journal_sealed", status.isJournalSealed},
                                {"peers", std::move(peers)},
                                {"endpoints", std::move(endpoints)}};
    return json::serialize(document);
}

} // namespace basilhall::entry
