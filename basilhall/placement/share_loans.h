// Decides which peers a gateway asks for unused shares of endpoint limits, and what it lends.
//
// Single requests are lent, not rates: the lender deducts them from its share at once, and the
// borrower sends them within kLoanTime or not at all, so each counts at one gateway only. All of
// this is without effect for endpoints that have no limit.
//
//     if (const auto question = loans.ask(endpoint, limit, waiting, isWaiting, now)) {
//         // Asks question->peers one after the other until one lends.
//         loans.onReply(endpoint, peer, question->requests, granted, now);
//         loans.onEnded(endpoint, *question);
//     }
//     // At the peer:
//     const std::uint32_t granted = loans.lend(limits, endpoint, requests, now);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/fleet/endpoint.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace basilhall::placement
{

// A reply that arrives later counts as none; what was borrowed is usable for as long.
inline constexpr Duration kLoanTime = std::chrono::milliseconds(200);
// Two peers answer well within kLoanTime. More would have a scarce limit asked for everywhere.
inline constexpr std::size_t kMaxLenders = 2;
// Requests that one question asks for at most, so that a borrower can send them within kLoanTime.
inline constexpr std::uint32_t kMaxLoan = 8;

// The part of EndpointLimits that lending needs.
// clang-format off
template<typename T>
concept LendableLimits = requires(T &limits, const fleet::Endpoint &endpoint, Instant now) {
    { limits.lend(endpoint.name, now) } -> std::same_as<bool>;
    { limits.shareOf(endpoint, now) } -> std::convertible_to<double>;
};
// clang-format on

// Not thread-safe.
class ShareLoans
{
public:
    // The hosts of all gateways, which share each limit.
    void setGateways(const HostName &self, const std::set<HostName> &hosts);

    struct Question {
        // In the order in which to ask them; at most kMaxLenders.
        std::vector<HostName> peers;
        // At most kMaxLoan.
        std::uint32_t requests = 0;

        auto operator<=>(const Question &) const = default;
    };
    // This gateway's share of `limit` lacks `wanted` requests. Returns the question to ask now, if
    // any; call onReply() or onNoReply() for each peer that is asked, and onEnded() at the end.
    // `isWaiting` is false if the requests go to other endpoints, which are worse: then it asks
    // only if another request lacked the share shortly before, since a loan is of use to the next
    // request only.
    std::optional<Question> ask(const EndpointName &endpoint, std::optional<double> limit,
                                std::size_t wanted, bool isWaiting, Instant now);
    // The peer has lent `granted` of the `requests` that it was asked for; 0 if it refused.
    void onReply(const EndpointName &endpoint, const HostName &peer, std::uint32_t requests,
                 std::uint32_t granted, Instant now);
    // The reply did not arrive within kLoanTime. Requests that it lent are not used.
    void onNoReply(const HostName &peer, Instant now);
    void onEnded(const EndpointName &endpoint, const Question &question);
    // True if a question about the endpoint has not ended.
    bool isAsking(const EndpointName &endpoint) const;
    // True if a borrowed request has not been sent.
    bool hasLoan(const EndpointName &endpoint, Instant now) const;

    // This gateway sent a request to an endpoint that has a limit.
    void onSent(const EndpointName &endpoint, Instant now);
    // Takes up to `requests` requests, and kMaxLoan at most, from this gateway's share. Returns
    // their number.
    template<LendableLimits Limits>
    std::uint32_t lend(Limits &limits, const fleet::Endpoint &endpoint, std::uint32_t requests,
                       Instant now)
    {
        std::uint32_t granted = 0;
        while (granted < std::min(requests, kMaxLoan)
               && mayLend(endpoint.name, limits.shareOf(endpoint, now), now)
               && limits.lend(endpoint.name, now)) {
            noteLent(endpoint.name, now);
            ++granted;
        }
        return granted;
    }
    // True if the share covers one more request besides those that this gateway sent and lent in
    // the last second. A gateway that has lately lacked a share of the endpoint does not lend.
    bool mayLend(const EndpointName &endpoint, double perSecond, Instant now) const;

private:
    // Of one peer that had less than it was asked for.
    struct Refusal {
        Instant until = Instant::min();
        Duration pause{};
    };

    struct State {
        // Of the last second: what this gateway sent, and what it lent.
        std::deque<Instant> sent;
        std::deque<Instant> lent;
        // When unused loans end.
        std::deque<Instant> borrowed;
        // Questions of the last second.
        std::deque<Instant> questions;
        std::map<HostName, Refusal> refusals;
        // The peers of the questions in progress.
        std::set<HostName> asked;
        std::size_t questionsInProgress = 0;
        std::uint32_t requestsInProgress = 0;
        Instant lackedAt = Instant::min();
        // Peers that hold a share of `limit`, in the order in which this gateway asks them;
        // computed for the gateways of `revision`.
        std::vector<HostName> holders;
        std::optional<double> limit;
        std::uint64_t revision = 0;
    };

    void noteLent(const EndpointName &endpoint, Instant now);
    void updateHolders(const EndpointName &endpoint, State &state, double limit) const;
    std::vector<HostName> choosePeers(const State &state, Instant now);
    // Time in which the share of a peer grows by one request.
    static Duration growthTime(const State &state);
    void expire(Instant now);

    HostName m_self;
    std::set<HostName> m_hosts;
    // Counts the changes of the gateways.
    std::uint64_t m_revision = 0;
    std::map<EndpointName, State> m_states;
    // Peers that did not reply since, and until when they are not asked.
    std::map<HostName, Instant> m_silent;
    Instant m_nextExpiry = Instant::min();
};

} // namespace basilhall::placement
