// An object API in virtual time that delays requests, loses answers and has outages.
#pragma once

#include "basilhall/entry/testing/virtual_time.h"
#include "basilhall/store/memory_store.h"
#include "basilhall/store/object_store.h"

namespace basilhall::testing
{

class FaultyObjects
{
public:
    explicit FaultyObjects(VirtualTime &time)
        : m_time(time)
    {
    }

    // Requests per thousand whose answer is lost after they took effect, and that fail before they
    // take effect.
    unsigned lostAnswers = 0;
    unsigned failures = 0;
    bool isDown = false;
    // Disables the condition of creates, which all guarantees depend on, to show that the checks
    // can fail.
    bool ignoresConditions = false;

    void execute(store::Request request, store::OutcomeHandler handler)
    {
        m_time.after(m_time.randomMillis(1, 6), [this, request, handler = std::move(handler)] {
            if (isDown || m_time.chance(failures)) {
                answer(handler, Error(ErrorKind::StoreUnavailable, "down"));
                return;
            }
            const store::Outcome outcome = apply(request);
            if (m_time.chance(lostAnswers)) {
                answer(handler, Error(ErrorKind::StoreUnavailable, "answer lost"));
                return;
            }
            answer(handler, outcome);
        });
    }

    const store::MemoryStore &objects() const { return m_objects; }

private:
    store::Outcome apply(const store::Request &request)
    {
        const auto *create = std::get_if<store::Create>(&request);
        if (ignoresConditions && create != nullptr) {
            (void)m_objects.apply(store::Remove{create->key});
        }
        return m_objects.apply(request);
    }

    void answer(const store::OutcomeHandler &handler, const store::Outcome &outcome)
    {
        m_time.after(m_time.randomMillis(1, 6), [handler, outcome] { handler(outcome); });
    }

    VirtualTime &m_time;
    store::MemoryStore m_objects;
};

} // namespace basilhall::testing
