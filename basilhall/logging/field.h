// One key=value pair of a log line.
//
//     log.info("Took over a shard.", Field("shard", 7), Field("program", programId));
//
// A std::string does not convert: keys, prompts and answers are strings. Text that is known to come
// from neither is wrapped by hand: Field("file", PublicText(path)).
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/error.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/logging/literal.h"
#include "basilhall/logging/public_text.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace basilhall::logging
{

// Refers to its value, which must outlive the log call. Building one allocates nothing.
class Field
{
public:
    using Value = std::variant<bool, std::int64_t, std::uint64_t, double, Duration,
                               std::string_view, const Address *, const Error *>;

    template<std::signed_integral Number>
    Field(Literal name, Number value)
        : m_name(name.text())
        , m_value(static_cast<std::int64_t>(value))
    {
    }
    template<std::unsigned_integral Number>
    requires(!std::same_as<Number, bool>) Field(Literal name, Number value)
        : m_name(name.text())
        , m_value(static_cast<std::uint64_t>(value))
    {
    }
    Field(Literal name, std::same_as<bool> auto value)
        : m_name(name.text())
        , m_value(value)
    {
    }
    Field(Literal name, double value)
        : m_name(name.text())
        , m_value(value)
    {
    }
    Field(Literal name, Duration value)
        : m_name(name.text())
        , m_value(value)
    {
    }
    Field(Literal name, Literal value)
        : m_name(name.text())
        , m_value(value.text())
    {
    }
    template<typename Tag>
    Field(Literal name, const Identifier<Tag> &value)
        : m_name(name.text())
        , m_value(std::string_view(value.value()))
    {
    }
    Field(Literal name, const PublicText &value)
        : m_name(name.text())
        , m_value(value.text())
    {
    }
    Field(Literal name, const Address &value)
        : m_name(name.text())
        , m_value(&value)
    {
    }
    // Shows kind and message.
    Field(Literal name, const Error &value)
        : m_name(name.text())
        , m_value(&value)
    {
    }
    Field(Literal name, const std::string &value) = delete;
    Field(Literal name, std::string_view value) = delete;

    std::string_view name() const { return m_name; }
    const Value &value() const { return m_value; }

private:
    std::string_view m_name;
    Value m_value;
};

} // namespace basilhall::logging
