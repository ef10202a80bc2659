// Owns the log of one process.
//
//     LogSystem system(settings.log);
//     Log log = system.log("entry");
//     system.setLevel(Level::Debug); // while the process runs
#pragma once

#include "basilhall/logging/log.h"
#include "basilhall/logging/log_settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace basilhall::logging
{

// Bounds of a log file and number of older files that are kept.
inline constexpr std::uint64_t kMaxFileBytes = 10 * 1024 * 1024;
inline constexpr int kMaxFiles = 5;
// Lines that wait for a standard output that does not drain, about a second of a busy process;
// further ones are dropped and counted, so that no thread ever waits for it.
inline constexpr int kMaxQueuedLines = 2000;

// Thread-safe. Logs stay usable after it is gone; they write nothing then.
class LogSystem
{
public:
    explicit LogSystem(const LogSettings &settings);
    ~LogSystem();
    LogSystem(const LogSystem &) = delete;
    LogSystem &operator=(const LogSystem &) = delete;

    // Returns the log of the part `name`, which is the prefix of its lines.
    Log log(Literal name);

    Level level() const;
    // Takes effect in all parts at once.
    void setLevel(Level level);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::logging
