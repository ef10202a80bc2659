#include "basilhall/logging/log_system.h"

#include "basilhall/logging/internal/part.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/rolling/fixedwindowrollingpolicy.h>
#include <log4cxx/rolling/rollingfileappender.h>
#include <log4cxx/rolling/sizebasedtriggeringpolicy.h>

namespace basilhall::logging
{

namespace
{

constexpr std::string_view kTextPattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z %p %c: %m%n";
constexpr std::string_view kJsonPattern =
    "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z\",\"level\":\"%p\",\"part\":\"%c\",%m}%n";

log4cxx::LayoutPtr makeLayout(Format format)
{
    const std::string pattern(format == Format::Json ? kJsonPattern : kTextPattern);
    return std::make_shared<log4cxx::PatternLayout>(pattern);
}

log4cxx::AppenderPtr makeAppender(const LogSettings &settings)
{
    const log4cxx::LayoutPtr layout = makeLayout(settings.format);
    if (settings.file.empty()) {
        const auto console = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemOut());
        const auto queue = std::make_shared<log4cxx::AsyncAppender>();
        queue->addAppender(console);
        queue->setBufferSize(kMaxQueuedLines);
        // A full queue drops lines and says how many.
        queue->setBlocking(false);
        return queue;
    }
    log4cxx::helpers::Pool pool;
    auto rolling = std::make_shared<log4cxx::rolling::FixedWindowRollingPolicy>();
    rolling->setMinIndex(1);
    rolling->setMaxIndex(kMaxFiles);
    rolling->setFileNamePattern(settings.file + ".%i");
    rolling->activateOptions(pool);
    auto trigger = std::make_shared<log4cxx::rolling::SizeBasedTriggeringPolicy>();
    trigger->setMaxFileSize(kMaxFileBytes);
    auto appender = std::make_shared<log4cxx::rolling::RollingFileAppender>();
    appender->setLayout(layout);
    appender->setFile(settings.file);
    appender->setAppend(true);
    appender->setRollingPolicy(rolling);
    appender->setTriggeringPolicy(trigger);
    appender->activateOptions(pool);
    return appender;
}

} // namespace

class LogSystem::Private
{
public:
    log4cxx::HierarchyPtr hierarchy = log4cxx::Hierarchy::create();
    std::shared_ptr<std::atomic<Level>> level;
    Format format = Format::Text;
};

LogSystem::LogSystem(const LogSettings &settings)
    : d(std::make_unique<Private>())
{
    d->level = std::make_shared<std::atomic<Level>>(settings.level);
    d->format = settings.format;
    const log4cxx::LoggerPtr root = d->hierarchy->getRootLogger();
    root->addAppender(makeAppender(settings));
    root->setLevel(log4cxx::Level::getAll());
    d->hierarchy->setConfigured(true);
}

LogSystem::~LogSystem()
{
    setLevel(Level::Off);
    d->hierarchy->shutdown();
}

Log LogSystem::log(Literal name)
{
    const log4cxx::LoggerPtr logger = d->hierarchy->getLogger(std::string(name.text()));
    return Log(std::make_shared<internal::Part>(logger, d->level, d->format));
}

Level LogSystem::level() const
{
    return d->level->load(std::memory_order_relaxed);
}

void LogSystem::setLevel(Level level)
{
    d->level->store(level, std::memory_order_relaxed);
}

} // namespace basilhall::logging
