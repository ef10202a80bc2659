// How long callers may go on with a stream that broke, as far as they state it.
//
// A caller repeats its attempts within one deadline and states in each what is left of it. An
// attempt that goes on with a stream does not tell when the first one began, which may be longer
// ago than one attempt may last.
//
//     CallerDeadlines deadlines;
//     deadlines.onFirstAttempt("route", 3s);
//     const Duration age = deadlines.maxStreamAge("route", 1s, 500ms); // 3s
#pragma once

#include "basilhall/base/time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace basilhall::resumption
{

// Not thread-safe.
class CallerDeadlines
{
public:
    // Taken as the age of a stream whose caller states no deadline, and of one of a route whose
    // callers have not been heard yet; longer deadlines are cut to it.
    static constexpr Duration kMaxAge = std::chrono::seconds(30);

    // A caller that asks for a whole stream states how long it will wait.
    void onFirstAttempt(const std::string &route, std::optional<Duration> timeLeft);
    // Returns the longest time for which a stream that is continued now may have existed, if each
    // attempt lasts `timeout` at most. `timeLeft` is what its caller states.
    Duration maxStreamAge(const std::string &route, Duration timeout,
                          std::optional<Duration> timeLeft) const;

private:
    // The longest deadline that callers of a route have stated.
    std::unordered_map<std::string, Duration> m_longest;
};

} // namespace basilhall::resumption
