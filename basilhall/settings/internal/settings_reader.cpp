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

// The processes that know a key, as a list.
std::string ownersOf(const KeySpec &spec)
{
    std::string owners;
    for (const ProcessKind kind :
         {ProcessKind::Entry, ProcessKind::Agent, ProcessKind::Gateway, ProcessKind::Steward}) {
        if (knows(kind, spec)) {
            owners += (owners.empty() ? "" : ", ") + std::string(toString(kind));
        }
    }
    return owners;
}

bool isAmong(std::string_view choices, const std::string &value)
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

SettingsReader::Place SettingsReader::find(const KeySpec &spec)
{
    if (!spec.key.starts_with(kLogPrefix)) {
        return {&m_root, spec.key};
    }
    return {m_log ? &*m_log : nullptr, spec.key.substr(kLogPrefix.size())};
}

SettingsReader::Place SettingsReader::require(const KeySpec &spec)
{
    const Place place = find(spec);
    if (spec.isRequired && place.table != nullptr) {
        place.table->require(place.key);
    }
    return place;
}

std::string SettingsReader::name(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Place place = require(spec);
    const std::optional<std::string> value = place.table->string(place.key);
    if (value && !manifest::isName(*value)) {
        place.table->addFault(place.key, "must be " + std::string(spec.range));
    }
    return value.value_or(withoutQuotes(spec.fallback));
}

std::optional<std::string> SettingsReader::path(std::string_view key)
{
    const Place place = require(specOf(key));
    if (place.table == nullptr) {
        return std::nullopt;
    }
    std::optional<std::string> value = place.table->string(place.key);
    if (value && value->empty()) {
        place.table->addFault(place.key, "must not be empty");
    }
    return value;
}

Address SettingsReader::address(std::string_view key)
{
    return optionalAddress(key).value_or(Address{});
}

std::optional<Address> SettingsReader::optionalAddress(std::string_view key)
{
    const Place place = require(specOf(key));
    return place.table->address(place.key);
}

std::uint32_t SettingsReader::count(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Place place = require(spec);
    const std::optional<std::uint64_t> value = place.table->unsignedInteger(
        place.key, static_cast<std::uint64_t>(spec.least), static_cast<std::uint64_t>(spec.most));
    return value ? static_cast<std::uint32_t>(*value) : toCount(spec.fallback);
}

bool SettingsReader::flag(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Place place = require(spec);
    return place.table->boolean(place.key).value_or(spec.fallback == "true");
}

double SettingsReader::number(std::string_view key, double least, double most)
{
    const KeySpec &spec = specOf(key);
    const Place place = require(spec);
    const double fallback = std::strtod(std::string(spec.fallback).c_str(), nullptr);
    return place.table->number(place.key, least, most).value_or(fallback);
}

Duration SettingsReader::duration(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Place place = require(spec);
    const std::optional<Duration> value =
        place.table->duration(place.key, Duration(spec.least), Duration(spec.most));
    return value ? *value : config::parseDuration(withoutQuotes(spec.fallback)).value();
}

std::string SettingsReader::choice(std::string_view key)
{
    const KeySpec &spec = specOf(key);
    const Place place = require(spec);
    if (place.table == nullptr) {
        return withoutQuotes(spec.fallback);
    }
    const std::optional<std::string> value = place.table->string(place.key);
    if (value && !isAmong(spec.range, *value)) {
        place.table->addFault(place.key, "must be one of " + std::string(spec.range));
        return withoutQuotes(spec.fallback);
    }
    return value.value_or(withoutQuotes(spec.fallback));
}

void SettingsReader::reportUnknownKeys()
{
    for (const KeySpec &spec : keyTable()) {
        const Place place = find(spec);
        if (knows(m_kind, spec) || place.table == nullptr || !place.table->has(place.key)) {
            continue;
        }
        place.table->ignore(place.key);
        place.table->addFault(place.key,
                              "is no key of " + std::string(toString(m_kind)) + " settings, but of "
                                  + ownersOf(spec));
    }
    m_root.reportUnknownKeys();
    if (m_log) {
        m_log->reportUnknownKeys();
    }
}

} // namespace basilhall::settings::internal
