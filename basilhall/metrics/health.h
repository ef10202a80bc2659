// Liveness and readiness of one process.
//
//     Health health({"manifest", "object_api"});
//     health.setReady("manifest", true);
//     health.beat(clock.now()); // by the control thread, at least once a second
#pragma once

#include "basilhall/base/time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::metrics
{

// Thread-safe. A process is ready if every condition holds and it is not draining; it is live if
// its control thread has beaten within kLongestSilence.
class Health
{
public:
    static constexpr Duration kLongestSilence = std::chrono::seconds(10);

    // None of `conditions` holds at first.
    explicit Health(const std::vector<std::string> &conditions);

    // Throws std::out_of_range if `condition` is not one of those given at the start.
    void setReady(std::string_view condition, bool isReady);
    // Takes readiness away for good; the process is about to stop.
    void beginDraining();
    bool isDraining() const;
    void beat(Instant now);

    bool isReady() const;
    // Returns the conditions that do not hold, and "draining" if the process drains.
    std::vector<std::string> missing() const;
    bool isLive(Instant now) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, bool, std::less<>> m_conditions;
    bool m_isDraining = false;
    Instant m_lastBeat = Instant::min();
};

} // namespace basilhall::metrics
