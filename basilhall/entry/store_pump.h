// Executes the object API operations that state machines request.
//
//     StorePump pump(execute, now, wake);
//     pump.run(writer); // executes writer->advance(now), passes outcomes to writer->onOutcome()
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/store/object_store.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/outcome.h"

#include <concepts>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace basilhall::entry
{

// A state machine that requests operations on the object API.
// clang-format off
template<typename T>
concept StoreMachine = requires(T &machine, store::OperationId id, const store::Outcome &outcome,
                                Instant now) {
    { machine.advance(now) } -> std::same_as<std::vector<store::Operation>>;
    { machine.onOutcome(id, outcome, now) } -> std::same_as<void>;
};
// clang-format on

// Control thread only. Drops the outcome of an operation whose state machine has been destroyed.
class StorePump
{
public:
    using Execute = std::function<void(store::Request, store::OutcomeHandler)>;

    // `execute` executes one request. `wake` requests that the control loop runs the state machines
    // again soon.
    StorePump(Execute execute, std::function<Instant()> now, std::function<void()> wake)
        : m_execute(std::move(execute))
        , m_now(std::move(now))
        , m_wake(std::move(wake))
    {
    }

    template<StoreMachine Machine>
    void run(const std::shared_ptr<Machine> &machine)
    {
        execute(machine, machine->advance(m_now()));
    }

    // Executes operations that `machine` has requested.
    template<StoreMachine Machine>
    void execute(const std::shared_ptr<Machine> &machine, std::vector<store::Operation> operations)
    {
        for (store::Operation &operation : operations) {
            m_execute(std::move(operation.request),
                      [this, weak = std::weak_ptr<Machine>(machine),
                       id = operation.id](const store::Outcome &outcome) {
                          if (const auto alive = weak.lock()) {
                              alive->onOutcome(id, outcome, m_now());
                              m_wake();
                          }
                      });
        }
    }

private:
    Execute m_execute;
    std::function<Instant()> m_now;
    std::function<void()> m_wake;
};

} // namespace basilhall::entry
