#include "basilhall/logging/internal/line_text.h"

#include <array>
#include <charconv>

namespace basilhall::logging::internal
{

namespace
{

constexpr double kMillisPerNano = 1e-6;

std::string toText(double number)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), result.ptr};
}

// Appends `text` with control characters, quotes and backslashes escaped as in JSON.
void appendEscaped(std::string_view text, std::string &out)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < kFirstPrintable || byte == kDelete) {
            out += "\\u00";
            out += kDigits[byte >> 4];
            out += kDigits[byte & 0x0f];
        } else {
            out += c;
        }
    }
}

void appendQuoted(std::string_view text, std::string &out)
{
    out += '"';
    appendEscaped(text, out);
    out += '"';
}

bool needsQuotes(std::string_view text)
{
    if (text.empty()) {
        return true;
    }
    for (const char c : text) {
        if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c == '\x7f') {
            return true;
        }
    }
    return false;
}

// The value as text, and whether it is a number or a truth value.
struct ValueText {
    std::string text;
    bool isBare = false;
};

struct ValueToText {
    ValueText operator()(bool value) const { return {value ? "true" : "false", true}; }
    ValueText operator()(std::int64_t value) const { return {std::to_string(value), true}; }
    ValueText operator()(std::uint64_t value) const { return {std::to_string(value), true}; }
    ValueText operator()(double value) const { return {toText(value), true}; }
    ValueText operator()(Duration value) const
    {
        return {toText(static_cast<double>(value.count()) * kMillisPerNano) + "ms", false};
    }
    ValueText operator()(std::string_view value) const { return {std::string(value), false}; }
    ValueText operator()(const Address *value) const { return {toString(*value), false}; }
    ValueText operator()(const Error *value) const
    {
        const std::string_view message = PublicText(value->message()).text();
        return {std::string(errorTraits(value->kind()).name) + ": " + std::string(message), false};
    }
};

} // namespace

std::string textLine(std::string_view sentence, std::span<const Field> fields)
{
    std::string line(sentence);
    for (const Field &field : fields) {
        const ValueText value = std::visit(ValueToText(), field.value());
        line += ' ';
        line += field.name();
        line += '=';
        if (needsQuotes(value.text)) {
            appendQuoted(value.text, line);
        } else {
            line += value.text;
        }
    }
    return line;
}

std::string jsonMembers(std::string_view sentence, std::span<const Field> fields)
{
    std::string line = "\"message\":";
    appendQuoted(sentence, line);
    for (const Field &field : fields) {
        const ValueText value = std::visit(ValueToText(), field.value());
        line += ',';
        appendQuoted(field.name(), line);
        line += ':';
        if (value.isBare) {
            line += value.text;
        } else {
            appendQuoted(value.text, line);
        }
    }
    return line;
}

} // namespace basilhall::logging::internal
