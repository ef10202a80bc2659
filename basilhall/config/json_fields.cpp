#include "basilhall/config/json_fields.h"

#include <boost/json/array.hpp>
#include <limits>

namespace basilhall::config
{

JsonFields::JsonFields(const boost::json::object &object)
    : m_object(object)
{
}

const boost::json::value *JsonFields::read(std::string_view key)
{
    const boost::json::value *const value = m_object.if_contains(key);
    if (value == nullptr) {
        addFault(key, "is missing");
        return nullptr;
    }
    ++m_readCount;
    return value;
}

std::string JsonFields::string(std::string_view key)
{
    const boost::json::value *const value = read(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        addFault(key, "is not a string");
        return {};
    }
    return std::string(value->get_string());
}

std::vector<std::string> JsonFields::strings(std::string_view key)
{
    const boost::json::value *const value = read(key);
    std::vector<std::string> items;
    if (value == nullptr) {
        return items;
    }
    if (!value->is_array()) {
        addFault(key, "is not an array");
        return items;
    }
    for (const boost::json::value &item : value->get_array()) {
        if (!item.is_string()) {
            addFault(key, "holds something other than strings");
            return {};
        }
        items.emplace_back(item.get_string());
    }
    return items;
}

std::uint64_t JsonFields::unsignedInteger(std::string_view key)
{
    const boost::json::value *const value = read(key);
    if (value == nullptr) {
        return 0;
    }
    boost::json::error_code fault;
    const auto integer = value->to_number<std::uint64_t>(fault);
    if (fault || value->is_double()) {
        addFault(key, "is not a whole number");
        return 0;
    }
    return integer;
}

std::uint32_t JsonFields::count(std::string_view key)
{
    const std::uint64_t value = unsignedInteger(key);
    if (value > std::numeric_limits<std::uint32_t>::max()) {
        addFault(key, "is too large");
        return 0;
    }
    return static_cast<std::uint32_t>(value);
}

std::int64_t JsonFields::signedInteger(std::string_view key)
{
    const boost::json::value *const value = read(key);
    if (value == nullptr) {
        return 0;
    }
    boost::json::error_code fault;
    const auto integer = value->to_number<std::int64_t>(fault);
    if (fault || value->is_double()) {
        addFault(key, "is not a whole number");
        return 0;
    }
    return integer;
}

double JsonFields::number(std::string_view key)
{
    const boost::json::value *const value = read(key);
    if (value == nullptr) {
        return 0;
    }
    if (!value->is_number()) {
        addFault(key, "is not a number");
        return 0;
    }
    boost::json::error_code fault;
    return value->to_number<double>(fault);
}

bool JsonFields::boolean(std::string_view key)
{
    const boost::json::value *const value = read(key);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        addFault(key, "is not true or false");
        return false;
    }
    return value->get_bool();
}

void JsonFields::addFault(std::string_view key, std::string_view reason)
{
    if (m_firstFault.empty()) {
        m_firstFault = "member \"" + std::string(key) + "\" " + std::string(reason);
    }
}

Result<void> JsonFields::finish() const
{
    if (!m_firstFault.empty()) {
        return Error(ErrorKind::Corrupt, m_firstFault);
    }
    if (m_readCount != m_object.size()) {
        return Error(ErrorKind::Corrupt, "holds members that are not known");
    }
    return success();
}

} // namespace basilhall::config
