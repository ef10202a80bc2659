// Reads the members of a JSON object that basilhall wrote and records the first fault.
//
//     JsonFields fields(object);
//     const std::string name = fields.string("name");
//     BOOST_OUTCOME_TRY(fields.finish()); // Corrupt with the name of the member
#pragma once

#include "basilhall/base/result.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::config
{

// Not thread-safe; `object` must outlive it. A reading function returns an empty value if its
// member is missing or has the wrong type.
class JsonFields
{
public:
    explicit JsonFields(const boost::json::object &object);

    bool has(std::string_view key) const { return m_object.contains(key); }
    std::string string(std::string_view key);
    std::vector<std::string> strings(std::string_view key);
    std::uint64_t unsignedInteger(std::string_view key);
    std::uint32_t count(std::string_view key);
    std::int64_t signedInteger(std::string_view key);
    double number(std::string_view key);
    bool boolean(std::string_view key);

    void addFault(std::string_view key, std::string_view reason);
    // Returns Corrupt with the first fault, or if the object has members that have not been read.
    Result<void> finish() const;

private:
    const boost::json::value *read(std::string_view key);

    const boost::json::object &m_object;
    std::size_t m_readCount = 0;
    std::string m_firstFault;
};

} // namespace basilhall::config
