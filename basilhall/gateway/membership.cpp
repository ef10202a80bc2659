#include "basilhall/gateway/membership.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/internal/store_call.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

constexpr Duration kRetryPause = std::chrono::milliseconds(300);
// Time until a registration is in the lists that peers pass on: a few watch and update intervals.
constexpr Duration kRegistrationDelay = std::chrono::seconds(3);
// Ranks from this one on remove registrations at the same time.
constexpr Duration::rep kMaxTakeovers = 3;
// A gateway that reaches fewer than half of the others is more likely cut off, or has too little
// processor time, than that all these have ended: it leaves removals to the others for this many
// takeovers.
constexpr Duration::rep kIsolatedTakeovers = 5;

} // namespace

class Membership::Private : public std::enable_shared_from_this<Membership::Private>
{
public:
    struct Subscription {
        Member member;
        Instant at;
    };

    Private(const asio::any_io_executor &executor, Member s, StoreAccess a, PeerMesh &m,
            logging::Log l)
        : self(std::move(s))
        , access(std::move(a))
        , mesh(m)
        , log(std::move(l))
        , timer(executor)
    {
    }

    store::ObjectKey key() const { return {kMemberKind, self.host.value()}; }

    void create()
    {
        access(store::Create{key(), encodeMember(self)},
               [self = shared_from_this()](const store::Outcome &outcome) {
                   if (outcome) {
                       self->wasListed = true;
                       self->log.info("Registered.", Field("host", self->self.host));
                   } else if (outcome.error().kind() == ErrorKind::StoreConflict) {
                       self->readExisting();
                   } else {
                       self->scheduleRetry();
                   }
               });
    }

    // The existing registration is that of an earlier process on this host, or was written by this
    // process and the answer was lost.
    void readExisting()
    {
        access(store::Read{key()}, [self = shared_from_this()](const store::Outcome &outcome) {
            if (outcome && !outcome.value().empty()) {
                self->replace(outcome.value().front());
            } else {
                self->scheduleRetry();
            }
        });
    }

    void replace(const store::Object &existing)
    {
        if (existing.data == encodeMember(self)) {
            return;
        }
        access(store::Update{key(), encodeMember(self), existing.version},
               [self = shared_from_this()](const store::Outcome &outcome) {
                   if (outcome) {
                       self->wasListed = true;
                       self->log.info("Registered.", Field("host", self->self.host));
                   } else {
                       self->scheduleRetry();
                   }
               });
    }

    // Removes the registration of a host if it is that of `process`; calls `done` once, also on
    // failure. A removal may take effect late, so it applies to the version that was read only.
    void removeRegistration(const Member &process, std::function<void()> done)
    {
        const store::ObjectKey registration{kMemberKind, process.host.value()};
        access(store::Read{registration},
               [self = shared_from_this(), process,
                done = std::move(done)](const store::Outcome &outcome) mutable {
                   if (!outcome) {
                       self->noteRemovalFailed(process, outcome.error());
                       done();
                       return;
                   }
                   if (outcome.value().empty()) {
                       done();
                       return;
                   }
                   const store::Object &object = outcome.value().front();
                   const Result<Member> found = decodeMember(object.key, object.data);
                   if (!found) {
                       self->noteRemovalFailed(process, found.error());
                       done();
                   } else if (found.value().incarnation != process.incarnation) {
                       self->log.info("Keeps the registration of a later process.",
                                      Field("host", process.host),
                                      Field("incarnation", found.value().incarnation));
                       done();
                   } else {
                       self->removeVersion(process, object, std::move(done));
                   }
               });
    }

    void removeVersion(const Member &process, const store::Object &registration,
                       std::function<void()> done)
    {
        access(store::Remove{registration.key, registration.version},
               [self = shared_from_this(), process,
                done = std::move(done)](const store::Outcome &outcome) {
                   if (!outcome) {
                       self->noteRemovalFailed(process, outcome.error());
                   }
                   done();
               });
    }

    void noteRemovalFailed(const Member &process, const Error &reason)
    {
        if (reason.kind() != ErrorKind::NotFound) {
            log.info("Could not remove a registration.", Field("host", process.host),
                     Field("reason", reason));
        }
    }

    void scheduleRetry()
    {
        timer.expires_after(kRetryPause);
        timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto alive = weak.lock();
            if (alive && !error && !alive->hasLeft) {
                alive->create();
            }
        });
    }

    // Returns the registered and the subscribed gateways. Of a host, the process that subscribed
    // last is the member: a registration may be older, or may be read late.
    std::map<HostName, Member> members() const
    {
        std::map<HostName, Member> all = registered;
        for (const auto &[host, subscription] : subscribed) {
            all.insert_or_assign(host, subscription.member);
        }
        return all;
    }

    void updateMesh()
    {
        std::erase_if(subscribed, [this](const auto &entry) { return isObsolete(entry.second); });
        std::vector<Member> others;
        for (const auto &[host, member] : members()) {
            others.push_back(member);
        }
        mesh.setMembers(others);
    }

    bool isLive(const Subscription &subscription) const
    {
        return mesh.hasSubscriber(subscription.member.incarnation);
    }

    bool isObsolete(const Subscription &subscription) const
    {
        const bool isRecent = MonotonicClock().now() - subscription.at <= kRegistrationDelay;
        return !isRecent && !isLive(subscription);
    }

    void eraseIfEnded(const HostName &host)
    {
        const auto found = subscribed.find(host);
        if (found != subscribed.end() && !isLive(found->second)) {
            subscribed.erase(found);
        }
    }

    const Member self;
    StoreAccess access;
    PeerMesh &mesh;
    logging::Log log;
    asio::steady_timer timer;
    std::map<HostName, Member> registered;
    // The last subscription of each host.
    std::map<HostName, Subscription> subscribed;
    std::set<HostName> pendingRemovals;
    // The registration of this process was accepted, or has been in a list.
    bool wasListed = false;
    bool hasLeft = false;
};

Membership::Membership(const asio::any_io_executor &executor, Member self, StoreAccess access,
                       PeerMesh &mesh, logging::Log log)
    : d(std::make_shared<Private>(executor, std::move(self), std::move(access), mesh,
                                  std::move(log)))
{
}

Membership::~Membership()
{
    d->timer.cancel();
}

void Membership::join()
{
    d->create();
}

void Membership::leave(std::function<void()> done)
{
    d->hasLeft = true;
    d->timer.cancel();
    d->removeRegistration(d->self, std::move(done));
}

void Membership::setAll(const std::vector<Member> &members)
{
    d->registered.clear();
    for (const Member &member : members) {
        d->registered.emplace(member.host, member);
    }
    d->updateMesh();
    const auto own = d->registered.find(d->self.host);
    if (own != d->registered.end()) {
        d->wasListed = d->wasListed || own->second == d->self;
    } else if (std::exchange(d->wasListed, false) && !d->hasLeft) {
        // A peer removed the registration because it considered this host lost.
        d->create();
    }
}

void Membership::set(const Member &member)
{
    d->eraseIfEnded(member.host);
    d->registered.insert_or_assign(member.host, member);
    d->updateMesh();
}

void Membership::onSubscribed(const Member &member)
{
    d->subscribed.insert_or_assign(member.host,
                                   Private::Subscription{member, MonotonicClock().now()});
    d->updateMesh();
}

asio::awaitable<Result<void>> Membership::refresh()
{
    const auto self = d;
    store::List all{kMemberKind, ""};
    const store::Outcome outcome =
        co_await executeCall(self->timer.get_executor(), self->access, std::move(all));
    if (!outcome) {
        co_return outcome.error();
    }
    std::vector<Member> members;
    for (const store::Object &object : outcome.value()) {
        const Result<Member> member = decodeMember(object.key, object.data);
        if (member) {
            members.push_back(member.value());
        } else {
            self->log.error("Skipped a registration that cannot be decoded.",
                            Field("reason", member.error()));
        }
    }
    setAll(members);
    co_return success();
}

std::vector<Member> Membership::registered() const
{
    std::vector<Member> members;
    for (const auto &[host, member] : d->registered) {
        members.push_back(member);
    }
    return members;
}

void Membership::remove(const HostName &host)
{
    d->eraseIfEnded(host);
    d->registered.erase(host);
    d->updateMesh();
    if (host == d->self.host && !d->hasLeft) {
        // A peer removed the registration because it considered this host lost.
        d->create();
    }
}

void Membership::dropUnsubscribed()
{
    const bool isAnyObsolete =
        std::any_of(d->subscribed.begin(), d->subscribed.end(),
                    [this](const auto &entry) { return d->isObsolete(entry.second); });
    if (isAnyObsolete) {
        d->updateMesh();
    }
}

void Membership::removeSilentMembers(Duration silence)
{
    const auto before = static_cast<Duration::rep>(d->mesh.reachableBefore());
    const bool isIsolated = 2 * (d->mesh.reachableCount() + 1) < d->mesh.memberCount() + 1;
    const Duration takeover =
        kTakeoverDelay * (isIsolated ? kIsolatedTakeovers : std::min(before, kMaxTakeovers));
    for (const Member &member : d->mesh.silentMembers(silence + takeover)) {
        const auto found = d->registered.find(member.host);
        // A process that is subscribed here runs, though its updates do not arrive.
        if (found == d->registered.end() || found->second.incarnation != member.incarnation
            || d->mesh.hasSubscriber(member.incarnation)
            || !d->pendingRemovals.insert(member.host).second) {
            continue;
        }
        d->log.warning("Removing the registration of a silent peer.", Field("peer", member.host),
                       Field("incarnation", member.incarnation));
        d->removeRegistration(
            member, [self = d, host = member.host] { self->pendingRemovals.erase(host); });
    }
}

} // namespace basilhall::gateway
