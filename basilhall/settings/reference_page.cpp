#include "basilhall/settings/reference_page.h"

#include "basilhall/settings/key_spec.h"

namespace basilhall::settings
{

namespace
{

constexpr std::string_view kIntroduction =
    "# Settings\n\n"
    "Made by `basilhall docs settings` from the table in `basilhall/settings/key_table.cpp`.\n\n"
    "Each process reads one TOML file. A duration is a string with a unit (`us`, `ms`, `s`, "
    "`min`,\n"
    "`h`), an address a string with IP address and port. Port 0 selects a free port. Unknown\n"
    "keys, wrong units and contradictions are errors that name file, line and key;\n"
    "`basilhall check FILE` lists them all.\n\n"
    "Further keys of the root table may be in the environment variable `BASILHALL_SETTINGS`; they\n"
    "precede those of the file.\n";

constexpr std::string_view kTableHeader =
    "\n| Key | Type | Unit | Range | Default | Meaning |\n|---|---|---|---|---|---|\n";

std::string_view toString(KeyType type)
{
    switch (type) {
    case KeyType::Name:
    case KeyType::Text:
        return "string";
    case KeyType::Path:
        return "path";
    case KeyType::Address:
        return "address";
    case KeyType::Count:
        return "integer";
    case KeyType::Number:
        return "number";
    case KeyType::Flag:
        return "boolean";
    case KeyType::Duration:
        return "duration";
    case KeyType::Choice:
        return "string";
    }
    return "";
}

std::string defaultColumn(const KeySpec &spec)
{
    if (spec.isRequired) {
        return "required";
    }
    return spec.defaultText.empty() ? "none" : "`" + std::string(spec.defaultText) + "`";
}

std::string row(const KeySpec &spec)
{
    std::string text = "| `" + std::string(spec.key) + "` | " + std::string(toString(spec.type));
    text += " | " + std::string(spec.unit);
    text += " | " + std::string(spec.range);
    text += " | " + defaultColumn(spec);
    text += " | " + std::string(spec.meaning) + " |\n";
    return text;
}

std::string section(std::string_view title, KeyScope scope)
{
    std::string text = "\n## " + std::string(title) + "\n" + std::string(kTableHeader);
    for (const KeySpec &spec : keyTable()) {
        const bool isInScope =
            (static_cast<unsigned>(spec.scope) & static_cast<unsigned>(scope)) != 0;
        if (isInScope && (scope == KeyScope::All) == (spec.scope == KeyScope::All)) {
            text += row(spec);
        }
    }
    return text;
}

} // namespace

std::string referencePage()
{
    return std::string(kIntroduction) + section("All kinds of process", KeyScope::All)
        + section("Entry", KeyScope::Entry) + section("Agent", KeyScope::Agent)
        + section("Gateway", KeyScope::Gateway) + section("Steward", KeyScope::Steward);
}

} // namespace basilhall::settings
