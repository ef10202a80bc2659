#include "basilhall/settings/internal/settings_reader.h"

#include "basilhall/config/duration_text.h"
#include "basilhall/manifest/name.h"

#include <charconv>
#include <cstdlib>
#include <stdexcept>

namespace basilhall::settings::internal
{

namespace
{

constexpr std::string_view kLogTable = "log";
constexpr std::string_view kLogPrefix = "log.";

const KeySpec &specOf(std::string_view key)
{
    const KeySpec *const spec = findKey(key);
    if (spec == nullptr) {
        throw std::logic_error("key \"" + std::string(key) + "\" is not in the table of settings");
    }
    return *spec;
}

std::string withoutQuotes(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"') {
        return std::string(text.substr(1, text.size() - 2));
    }
    return std::string(text);
}

std::uint32_t toCount(std::string_view text)
{
    std::uint32_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

// Returns the kinds of process that accept a key, separated by commas.
std::string processesOf(const KeySpec &spec)
{
    std::string processes;
    for (const ProcessKind kind :
         {ProcessKind::Entry, ProcessKind::Agent, ProcessKind::Gateway, ProcessKind::Steward}) {
        if (acceptsKey(kind, spec)) {
            processes += (processes.empty() ? "" : ", ") + std::string(toString(kind));
        }
    }
    return processes;
}

bool isChoice(std::string_view choices, const std::string &value)
{
    return choices.find("`" + value + "`") != std::string_view::npos;
}

} // namespace

SettingsReader::SettingsReader(config::Table &root, ProcessKind kind)
    : m_root(root)
    , m_kind(kind)
    , m_log(root.table(kLogTable))
{
}

SettingsReader::Location SettingsReader::find(const KeySpec &spec)
{
    if (!spec.key.starts_with(kLogPrefix)) {
        return {&m_root, spec.key};
    }
    return {m_log ? &*m_log : nullptr, spec.key.substr(kLogPrefix.size())};
}

SettingsReader::Location SettingsReader::require(const KeySpec &spec)
{
    const Location location = find(spec);
    if (spec.isRequired && location.table != nullptr) {
        location.table->require(location.key);
    }
    return location;
}

std::string SettingsReader::name(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Location location = require(spec);
    const std::optional<std::string> value = location.table->string(location.key);
    if (value && !manifest::isName(*value)) {
        location.table->addFault(location.key, "must be " + std::string(spec.range));
    }
    return value.value_or(withoutQuotes(spec.defaultText));
}

std::optional<std::string> SettingsReader::path(std::string_view key)
{
    const Location location = require(specOf(key));
    if (location.table == nullptr) {
        return std::nullopt;
    }
    std::optional<std::string> value = location.table->string(location.key);
    if (value && value->empty()) {
        location.table->addFault(location.key, "must not be empty");
    }
    return value;
}

Address SettingsReader::address(std::string_view key)
{
    return optionalAddress(key).value_or(Address{});
}

std::optional<Address> SettingsReader::optionalAddress(std::string_view key)
{
    const Location location = require(specOf(key));
    return location.table->address(location.key);
}

std::uint32_t SettingsReader::count(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Location location = require(spec);
    const std::optional<std::uint64_t> value =
        location.table->unsignedInteger(location.key, static_cast<std::uint64_t>(spec.minimum),
                                        static_cast<std::uint64_t>(spec.maximum));
    return value ? static_cast<std::uint32_t>(*value) : toCount(spec.defaultText);
}

bool SettingsReader::flag(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Location location = require(spec);
    return location.table->boolean(location.key).value_or(spec.defaultText == "true");
}

double SettingsReader::number(std::string_view key, double minimum, double maximum)
{
    const KeySpec &spec = specOf(key);
    const Location location = require(spec);
    const double defaultValue = std::strtod(std::string(spec.defaultText).c_str(), nullptr);
    return location.table->number(location.key, minimum, maximum).value_or(defaultValue);
}

Duration SettingsReader::duration(std::string_view key)
{
    const std::optional<Duration> value = optionalDuration(key);
    return value ? *value : config::parseDuration(withoutQuotes(specOf(key).defaultText)).value();
}

std::optional<Duration> SettingsReader::optionalDuration(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Location location = require(spec);
    return location.table->duration(location.key, Duration(spec.minimum), Duration(spec.maximum));
}

std::string SettingsReader::text(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Location location = require(spec);
    return location.table->string(location.key).value_or(withoutQuotes(spec.defaultText));
}

std::string SettingsReader::choice(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Location location = require(spec);
    if (location.table == nullptr) {
        return withoutQuotes(spec.defaultText);
    }
    const std::optional<std::string> value = location.table->string(location.key);
    if (value && !isChoice(spec.range, *value)) {
        location.table->addFault(location.key, "must be one of " + std::string(spec.range));
        return withoutQuotes(spec.defaultText);
    }
    return value.value_or(withoutQuotes(spec.defaultText));
}

void SettingsReader::reportUnknownKeys()
{
    for (const KeySpec &spec : keyTable()) {
        const Location location = find(spec);
        if (acceptsKey(m_kind, spec) || location.table == nullptr
            || !location.table->has(location.key)) {
            continue;
        }
        location.table->ignore(location.key);
        location.table->addFault(location.key,
                                 "is no key of " + std::string(toString(m_kind))
                                     + " settings, but of " + processesOf(spec));
    }
    m_root.reportUnknownKeys();
    if (m_log) {
        m_log->reportUnknownKeys();
    }
}

} // namespace basilhall::settings::internal
