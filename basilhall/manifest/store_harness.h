// Executes operations on a MemoryStore with injected faults, for the tests in this directory.
#pragma once

#include "basilhall/store/memory_store.h"
#include "basilhall/store/operation_id_source.h"

#include <functional>
#include <utility>

namespace basilhall::manifest
{

// Fault injected into one operation.
enum class StoreFault {
    None,
    // The operation takes effect, but its response is lost.
    LostAnswer,
    // The operation is not executed; the caller cannot distinguish this from LostAnswer.
    LostRequest,
};

// Not thread-safe.
class StoreHarness
{
public:
    // Called once per operation.
    using FaultSource = std::function<StoreFault(const store::Request &)>;

    store::MemoryStore &store() { return m_store; }
    store::OperationIdSource &ids() { return m_ids; }
    Instant now() const { return m_now; }
    void setFaults(FaultSource faults) { m_faults = std::move(faults); }

    store::Outcome execute(const store::Request &request)
    {
        const StoreFault fault = m_faults ? m_faults(request) : StoreFault::None;
        if (fault == StoreFault::LostRequest) {
            return unavailable();
        }
        store::Outcome outcome = m_store.apply(request);
        return fault == StoreFault::LostAnswer ? unavailable() : std::move(outcome);
    }

    // Executes the operations that `decision` requests now. Returns false if there are none.
    template<typename Decision>
    bool step(Decision &decision)
    {
        const std::vector<store::Operation> operations = decision.advance(m_now);
        for (const store::Operation &operation : operations) {
            decision.onOutcome(operation.id, execute(operation.request), m_now);
        }
        return !operations.empty();
    }

    // Advances `decision` and the time until it is finished. Returns false if it gets stuck.
    template<typename Decision>
    bool run(Decision &decision)
    {
        constexpr int kMaxSteps = 10'000;
        for (int i = 0; i < kMaxSteps && !decision.isFinished(); ++i) {
            if (!step(decision)) {
                m_now = std::max(m_now, decision.nextWake().value_or(m_now));
            }
        }
        return decision.isFinished();
    }

private:
    static Error unavailable()
    {
        return Error(ErrorKind::StoreUnavailable, "the object API does not answer");
    }

    store::MemoryStore m_store;
    store::OperationIdSource m_ids;
    Instant m_now = Instant(std::chrono::seconds(1));
    FaultSource m_faults;
};

} // namespace basilhall::manifest
