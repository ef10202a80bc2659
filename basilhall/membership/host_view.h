// Tracks which entry hosts are live, suspect, dead or leaving. Combines the platform's host list,
// which may be out of date, with the results of direct probes.
//
//     HostView view(self);
//     view.onListed(listedHosts, now);
//     for (const EntryHost &target : view.probesDue(now, randomNumber)) {
//         probe(target); // then onProbeAnswered() or onProbeFailed()
//     }
//     const std::vector<EntryHost> hosts = view.hosts();
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/membership/entry_host.h"
#include "basilhall/membership/listed_host.h"

#include <map>
#include <optional>
#include <vector>

namespace basilhall::membership
{

// Not thread-safe. Stores one entry per host. The reported states are estimates.
class HostView
{
public:
    // Time between two probe rounds.
    static constexpr Duration kProbeInterval = std::chrono::seconds(1);
    // Number of random hosts probed in each round, in addition to the watched and the unconfirmed
    // hosts.
    static constexpr std::size_t kProbesPerRound = 3;
    // Maximum number of watched hosts. All of them are probed in each round.
    static constexpr std::size_t kMaxWatched = 16;
    // Maximum number of unconfirmed hosts probed in each round. A host is unconfirmed if its last
    // probe failed and it is not dead, or if it has never been probed.
    static constexpr std::size_t kUnconfirmedPerRound = 8;
    // Consecutive failed probes after which a host is suspect or dead. A watched host is probed in
    // every round, and so is an unconfirmed host unless there are more than kUnconfirmedPerRound of
    // them; its failure is then detected within kDeadAfterFailures rounds.
    static constexpr int kSuspectAfterFailures = 1;
    static constexpr int kDeadAfterFailures = 4;
    // Time after which the entry of a host that is neither listed nor answering is removed.
    static constexpr Duration kForgetAfter = std::chrono::minutes(10);

    explicit HostView(HostName self);

    // Takes the complete host list, as read from the platform.
    void onListed(const std::vector<ListedHost> &listed, Instant now);
    // Adds a host that was learned from another source, such as the owner field of a shard. It
    // counts as live until its probes fail.
    void onMentioned(const HostName &host, const Address &address, Instant now);
    // Records an answer to a probe, or any other message from the host itself.
    void onProbeAnswered(const HostName &host, const Incarnation &incarnation, bool leaving,
                         Instant now);
    void onProbeFailed(const HostName &host, Instant now);

    // Sets the hosts whose failure this host must act on, such as the owners of shards that it
    // would take over. Hosts beyond kMaxWatched are not watched: they are probed like all others.
    void watch(const std::vector<HostName> &hosts);

    // Returns the hosts to probe now; empty between rounds. `random` selects the random hosts.
    std::vector<EntryHost> probesDue(Instant now, std::uint64_t random);
    Instant nextWake() const { return m_nextRound; }

    // Returns all known hosts except this one, sorted by name.
    std::vector<EntryHost> hosts() const;
    // Returns the state of `host`, or std::nullopt if it is unknown.
    std::optional<HostState> stateOf(const HostName &host) const;

private:
    struct Entry {
        Incarnation incarnation;
        Address address;
        bool listed = false;
        bool listedLeaving = false;
        bool reportsLeaving = false;
        int failures = 0;
        Instant lastSeen;
    };

    static HostState stateOf(const Entry &entry);
    static EntryHost toEntryHost(const HostName &host, const Entry &entry);
    void removeExpired(Instant now);
    void addWatched(std::vector<EntryHost> &targets) const;
    void addUnconfirmed(std::vector<EntryHost> &targets, std::uint64_t random) const;
    void addRandom(std::vector<EntryHost> &targets, std::uint64_t random) const;

    HostName m_self;
    std::map<HostName, Entry> m_entries;
    std::vector<HostName> m_watched;
    Instant m_nextRound = Instant::min();
};

} // namespace basilhall::membership
