// One command's connection to the object API. Included by the sources of this folder alone.
//
//     StoreSession session(address, "basilhall");
//     manifest::Publisher publisher(request, session.ids());
//     session.run(publisher);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/monotonic_clock.h"
#include "basilhall/http/client.h"
#include "basilhall/store/kube_store.h"
#include "basilhall/store/operation_id_source.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

namespace basilhall::command::internal
{

// Not thread-safe.
class StoreSession
{
public:
    static constexpr Duration kRequestTimeout = std::chrono::seconds(5);

    StoreSession(Address server, const std::string &nameSpace);
    ~StoreSession();
    StoreSession(const StoreSession &) = delete;
    StoreSession &operator=(const StoreSession &) = delete;

    store::OperationIdSource &ids() { return m_ids; }

    // Drives `decision` until it is finished or `patience` has passed. Returns true if finished.
    template<typename Decision>
    bool run(Decision &decision, Duration patience)
    {
        Steps steps;
        steps.advance = [&decision](Instant now) { return decision.advance(now); };
        steps.onOutcome = [&decision](store::OperationId id, const store::Outcome &outcome,
                                      Instant now) { decision.onOutcome(id, outcome, now); };
        steps.nextWake = [&decision] { return decision.nextWake(); };
        steps.isFinished = [&decision] { return decision.isFinished(); };
        return drive(steps, patience);
    }

private:
    struct Steps {
        std::function<std::vector<store::Operation>(Instant)> advance;
        std::function<void(store::OperationId, const store::Outcome &, Instant)> onOutcome;
        std::function<std::optional<Instant>()> nextWake;
        std::function<bool()> isFinished;
    };

    bool drive(const Steps &steps, Duration patience);
    void step(const Steps &steps);

    boost::asio::io_context m_io{1};
    http::Client m_client;
    store::KubeStore m_store;
    boost::asio::steady_timer m_timer;
    MonotonicClock m_clock;
    store::OperationIdSource m_ids;
    Instant m_deadline;
};

} // namespace basilhall::command::internal
