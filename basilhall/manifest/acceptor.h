// Decides which manifest is in force in a process.
//
//     Acceptor acceptor({"api", "h2", "h3"});
//     acceptor.offer("api", candidate);        // Accepted: in force from now on
//     acceptor.onSourceAnswered("api");
//     if (acceptor.isReady()) { ... }          // the process may serve
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/manifest/candidate.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::manifest
{

// Result of Acceptor::offer().
enum class OfferVerdict {
    // The offered manifest is now in force.
    Accepted,
    // The manifest in force has the same or a newer generation.
    NotNewer,
    // The offer conflicts with the manifest in force; see Acceptor::lastRefusal().
    Refused,
};

// Not thread-safe. The generation in force never decreases.
//
// A restarted process has no manifest and must not serve with a lower generation than before the
// restart. It is ready once it has a manifest and either the object API has answered, which holds
// the highest generation, or the object API has failed and every peer has answered or failed.
class Acceptor
{
public:
    // Source name of the object API.
    static constexpr std::string_view kApiSource = "api";

    // `peers` are the names of the peers that the process queries when it starts.
    explicit Acceptor(std::vector<std::string> peers);

    // Handles a manifest offered by `source`.
    OfferVerdict offer(std::string_view source, const Candidate &candidate);
    // Records that `source` offered a damaged manifest. The manifest in force does not change.
    void onDamaged(std::string_view source, const Error &error);
    // Records that `source` has answered and has no further offers.
    void onSourceAnswered(std::string_view source);
    // Records that `source` cannot be reached.
    void onSourceFailed(std::string_view source);

    // The candidate in force, if any.
    const std::optional<Candidate> &current() const { return m_current; }
    ManifestPtr manifest() const;
    // 0 if nothing is in force.
    std::uint64_t generation() const { return m_current ? m_current->generation() : 0; }
    // True once the process may serve; never becomes false again.
    bool isReady() const { return m_isReady; }

    // Number of offers refused as damaged or conflicting, and the error of the last one.
    std::uint64_t refusals() const { return m_refusals; }
    const std::optional<Error> &lastRefusal() const { return m_lastRefusal; }

private:
    void refuse(std::string_view source, const Error &error);
    void updateReadiness();

    std::optional<Candidate> m_current;
    // Peers that have neither answered nor failed since the start.
    std::set<std::string, std::less<>> m_pendingPeers;
    bool m_hasApiAnswered = false;
    bool m_hasApiFailed = false;
    bool m_isReady = false;
    std::uint64_t m_refusals = 0;
    std::optional<Error> m_lastRefusal;
};

} // namespace basilhall::manifest
