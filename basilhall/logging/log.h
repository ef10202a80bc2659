// Writes the log lines of one part of a process.
//
//     Log log = system.log("ownership");
//     log.info("Took over a shard.", Field("shard", 7));
//     // 2026-01-31T10:00:00.000Z INFO ownership: Took over a shard. shard=7
#pragma once

#include "basilhall/logging/field.h"
#include "basilhall/logging/level.h"
#include "basilhall/logging/literal.h"

#include <array>
#include <memory>
#include <span>

namespace basilhall::logging
{

namespace internal
{
class Part;
}

// Thread-safe; copies are cheap and write to the same place. A default one writes nothing. The
// sentence is a literal and strings are no fields, so what callers sent cannot slip in.
class Log
{
public:
    Log() = default;
    explicit Log(std::shared_ptr<internal::Part> part);

    // One relaxed load; a line below the level costs no more than that.
    bool isEnabled(Level level) const;

    template<typename... Fields>
    void debug(Literal sentence, const Fields &...fields) const
    {
        write(Level::Debug, sentence, fields...);
    }
    template<typename... Fields>
    void info(Literal sentence, const Fields &...fields) const
    {
        write(Level::Info, sentence, fields...);
    }
    template<typename... Fields>
    void warning(Literal sentence, const Fields &...fields) const
    {
        write(Level::Warning, sentence, fields...);
    }
    template<typename... Fields>
    void error(Literal sentence, const Fields &...fields) const
    {
        write(Level::Error, sentence, fields...);
    }

private:
    template<std::same_as<Field>... Fields>
    void write(Level level, Literal sentence, const Fields &...fields) const
    {
        if (!isEnabled(level)) {
            return;
        }
        const std::array<Field, sizeof...(fields)> all{fields...};
        writeLine(level, sentence.text(), all);
    }
    void write(Level level, Literal sentence) const
    {
        if (isEnabled(level)) {
            writeLine(level, sentence.text(), {});
        }
    }
    void writeLine(Level level, std::string_view sentence, std::span<const Field> fields) const;

    std::shared_ptr<internal::Part> m_part;
};

} // namespace basilhall::logging
