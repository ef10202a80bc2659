#include "basilhall/gateway/membership.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

constexpr Duration kRetryPause = std::chrono::milliseconds(300);
// Several times a host's restart. Until then a silent peer's part of the limits stays unused.
constexpr Duration kSilentTooLong = std::chrono::seconds(8);

} // namespace

class Membership::Private : public std::enable_shared_from_this<Membership::Private>
{
public:
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
                       self->log.info("Registered.", Field("host", self->self.host));
                   } else if (outcome.error().kind() == ErrorKind::StoreConflict) {
                       self->readOld();
                   } else {
                       self->later();
                   }
               });
    }

    // An earlier run of the host, or this one's own write whose answer was lost.
    void readOld()
    {
        access(store::Read{key()}, [self = shared_from_this()](const store::Outcome &outcome) {
            if (outcome && !outcome.value().empty()) {
                self->replace(outcome.value().front());
            } else {
                self->later();
            }
        });
    }

    void replace(const store::Object &old)
    {
        if (old.data == encodeMember(self)) {
            return;
        }
        access(store::Update{key(), encodeMember(self), old.version},
               [self = shared_from_this()](const store::Outcome &outcome) {
                   if (outcome) {
                       self->log.info("Registered.", Field("host", self->self.host));
                   } else {
                       self->later();
                   }
               });
    }

    void later()
    {
        timer.expires_after(kRetryPause);
        timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto alive = weak.lock();
            if (alive && !error && !alive->hasLeft) {
                alive->create();
            }
        });
    }

    void connect()
    {
        std::vector<Member> others;
        for (const auto &[host, member] : members) {
            others.push_back(member);
        }
        mesh.setMembers(others);
    }

    const Member self;
    StoreAccess access;
    PeerMesh &mesh;
    logging::Log log;
    asio::steady_timer timer;
    std::map<HostName, Member> members;
    std::set<HostName> beingRemoved;
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
    d->access(store::Remove{d->key()},
              [done = std::move(done)](const store::Outcome &) { done(); });
}

void Membership::setAll(const std::vector<Member> &members)
{
    d->members.clear();
    for (const Member &member : members) {
        d->members.emplace(member.host, member);
    }
    d->connect();
}

void Membership::set(const Member &member)
{
    d->members.insert_or_assign(member.host, member);
    d->connect();
}

void Membership::meet(const Member &member)
{
    const auto known = d->members.find(member.host);
    if (known == d->members.end() || known->second != member) {
        set(member);
    }
}

void Membership::remove(const HostName &host)
{
    d->members.erase(host);
    d->connect();
    if (host == d->self.host && !d->hasLeft) {
        // A peer took this host for gone.
        d->create();
    }
}

void Membership::removeSilent()
{
    for (const HostName &host : d->mesh.silentMembers(kSilentTooLong)) {
        if (!d->beingRemoved.insert(host).second) {
            continue;
        }
        d->log.warning("Removes the registration of a silent peer.", Field("peer", host));
        d->access(store::Remove{{kMemberKind, host.value()}},
                  [self = d, host](const store::Outcome &) { self->beingRemoved.erase(host); });
    }
}

} // namespace basilhall::gateway
