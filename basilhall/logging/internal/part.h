// What the logs of one part share. Included by the sources of this folder alone.
#pragma once

#include "basilhall/logging/level.h"
#include "basilhall/logging/log_settings.h"

#include <atomic>
#include <log4cxx/logger.h>
#include <memory>
#include <utility>

namespace basilhall::logging::internal
{

// Thread-safe.
class Part
{
public:
    Part(log4cxx::LoggerPtr logger, std::shared_ptr<std::atomic<Level>> level, Format format)
        : m_logger(std::move(logger))
        , m_level(std::move(level))
        , m_format(format)
    {
    }

    bool isEnabled(Level level) const { return level >= m_level->load(std::memory_order_relaxed); }
    const log4cxx::LoggerPtr &logger() const { return m_logger; }
    Format format() const { return m_format; }

private:
    log4cxx::LoggerPtr m_logger;
    std::shared_ptr<std::atomic<Level>> m_level;
    Format m_format;
};

} // namespace basilhall::logging::internal
