#include "basilhall/logging/log.h"

#include "basilhall/logging/internal/line_text.h"
#include "basilhall/logging/internal/part.h"

#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/level.h>

namespace basilhall::logging
{

namespace
{

log4cxx::LevelPtr toLog4cxx(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warning:
        return log4cxx::Level::getWarn();
    case Level::Error:
    case Level::Off:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

} // namespace

Log::Log(std::shared_ptr<internal::Part> part)
    : m_part(std::move(part))
{
}

bool Log::isEnabled(Level level) const
{
    return m_part && m_part->isEnabled(level);
}

void Log::writeLine(Level level, std::string_view sentence, std::span<const Field> fields) const
{
    const std::string line = m_part->format() == Format::Json
        ? internal::jsonMembers(sentence, fields)
        : internal::textLine(sentence, fields);
    m_part->logger()->forcedLog(toLog4cxx(level), line, log4cxx::spi::LocationInfo());
}

} // namespace basilhall::logging
