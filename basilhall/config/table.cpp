#include "basilhall/config/table.h"

#include "basilhall/config/duration_text.h"
#include "basilhall/config/internal/table_private.h"

#include <cmath>
#include <sstream>

namespace basilhall::config
{

namespace
{

std::string toText(double number)
{
    std::ostringstream out;
    out << number;
    return out.str();
}

std::string typeFault(std::string_view expected, const toml::node &node)
{
    std::ostringstream out;
    out << "must be " << expected << ", not " << node.type();
    return out.str();
}

std::string rangeFault(const std::string &minimum, const std::string &maximum)
{
    return "must be from " + minimum + " to " + maximum;
}

} // namespace

Table::Table(std::unique_ptr<internal::TablePrivate> data)
    : d(std::move(data))
{
}

Table::~Table() = default;
Table::Table(Table &&other) noexcept = default;
Table &Table::operator=(Table &&other) noexcept = default;

const std::string &Table::name() const
{
    return d->name();
}

bool Table::has(std::string_view key) const
{
    return d->table().contains(key);
}

std::optional<std::string> Table::string(std::string_view key)
{
    const toml::node *const node = d->read(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (!node->is_string()) {
        addFault(key, typeFault("a string", *node));
        return std::nullopt;
    }
    return node->as_string()->get();
}

std::optional<std::uint64_t> Table::unsignedInteger(std::string_view key, std::uint64_t minimum,
                                                    std::uint64_t maximum)
{
    const toml::node *const node = d->read(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (!node->is_integer()) {
        addFault(key, typeFault("an integer", *node));
        return std::nullopt;
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < 0 || static_cast<std::uint64_t>(value) < minimum
        || static_cast<std::uint64_t>(value) > maximum) {
        addFault(key, rangeFault(std::to_string(minimum), std::to_string(maximum)));
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(value);
}

std::optional<double> Table::number(std::string_view key, double minimum, double maximum)
{
    const toml::node *const node = d->read(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const std::optional<double> value = node->value<double>();
    if (!node->is_number() || !value) {
        addFault(key, typeFault("a number", *node));
        return std::nullopt;
    }
    if (!std::isfinite(*value) || *value < minimum || *value > maximum) {
        addFault(key, rangeFault(toText(minimum), toText(maximum)));
        return std::nullopt;
    }
    return value;
}

std::optional<bool> Table::boolean(std::string_view key)
{
    const toml::node *const node = d->read(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (!node->is_boolean()) {
        addFault(key, typeFault("true or false", *node));
        return std::nullopt;
    }
    return node->as_boolean()->get();
}

std::optional<Duration> Table::duration(std::string_view key, Duration minimum, Duration maximum)
{
    const std::optional<std::string> text = string(key);
    if (!text) {
        return std::nullopt;
    }
    const Result<Duration> parsed = parseDuration(*text);
    if (!parsed) {
        addFault(key, parsed.error().message());
        return std::nullopt;
    }
    if (parsed.value() < minimum || parsed.value() > maximum) {
        addFault(key, rangeFault(toString(minimum), toString(maximum)));
        return std::nullopt;
    }
    return parsed.value();
}

std::optional<Address> Table::address(std::string_view key)
{
    const std::optional<std::string> text = string(key);
    if (!text) {
        return std::nullopt;
    }
    const Result<Address> parsed = parseAddress(*text);
    if (!parsed) {
        addFault(key, parsed.error().message());
        return std::nullopt;
    }
    return parsed.value();
}

std::optional<std::vector<std::string>> Table::strings(std::string_view key)
{
    const toml::node *const node = d->read(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (!node->is_array()) {
        addFault(key, typeFault("an array of strings", *node));
        return std::nullopt;
    }
    std::vector<std::string> items;
    for (const toml::node &item : *node->as_array()) {
        if (!item.is_string()) {
            d->addFault(item.source(), d->pathOf(key), typeFault("a string", item));
            return std::nullopt;
        }
        items.push_back(item.as_string()->get());
    }
    return items;
}

std::vector<Table> Table::tables(std::string_view key)
{
    std::vector<Table> children;
    std::optional<Table> parent = table(key);
    if (!parent) {
        return children;
    }
    for (const auto &[name, node] : parent->d->table()) {
        std::optional<Table> child = parent->table(name.str());
        if (child) {
            children.push_back(std::move(*child));
        }
    }
    return children;
}

std::optional<Table> Table::table(std::string_view key)
{
    const toml::node *const node = d->read(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (!node->is_table()) {
        addFault(key, typeFault("a table", *node));
        return std::nullopt;
    }
    return Table(std::make_unique<internal::TablePrivate>(
        std::string(key), d->pathOf(key), *node->as_table(), d->file(), d->faults()));
}

void Table::addFault(std::string_view key, std::string_view message)
{
    const toml::node *const node = d->table().get(key);
    const toml::source_region &position = node != nullptr ? node->source() : d->table().source();
    d->addFault(position, d->pathOf(key), std::string(message));
}

void Table::addFaultAt(std::string_view key, std::size_t index, std::string_view message)
{
    const toml::node *const node = d->table().get(key);
    const toml::array *const array = node != nullptr ? node->as_array() : nullptr;
    if (array == nullptr || index >= array->size()) {
        addFault(key, message);
        return;
    }
    d->addFault(array->get(index)->source(), d->pathOf(key), std::string(message));
}

void Table::require(std::string_view key)
{
    if (!has(key)) {
        addFault(key, "is missing");
    }
}

std::size_t Table::faultCount() const
{
    return d->faults().size();
}

void Table::ignore(std::string_view key)
{
    d->read(key);
}

void Table::reportUnknownKeys()
{
    for (const auto &[key, node] : d->table()) {
        if (!d->keysRead().contains(key.str())) {
            d->addFault(key.source(), d->pathOf(key.str()), "is not a known key");
        }
    }
}

} // namespace basilhall::config
