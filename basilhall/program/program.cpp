#include "basilhall/program/program.h"

#include <algorithm>

namespace basilhall::program
{

namespace
{

bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || c == '-' || c == '_' || c == '.';
}

void appendFragment(std::string &messages, const std::string &fragment)
{
    if (fragment.empty()) {
        return;
    }
    if (!messages.empty()) {
        messages += ',';
    }
    messages += fragment;
}

} // namespace

Program::Program(const journal::ProgramOpened &opened)
    : m_id(opened.program_id())
    , m_root(rootOf(m_id))
    , m_team(opened.team())
    , m_opened(opened)
    , m_reservedTokens(opened.reserved_tokens())
{
}

const journal::TurnSettled *Program::turnOfCall(const CallId &callId) const
{
    const auto found =
        std::find_if(m_turns.rbegin(), m_turns.rend(), [&callId](const journal::TurnSettled &turn) {
            return turn.call_id() == callId.value();
        });
    return found == m_turns.rend() ? nullptr : &*found;
}

std::string Program::messages() const
{
    std::string messages;
    for (const journal::TurnSettled &turn : m_turns) {
        appendFragment(messages, turn.messages());
    }
    return messages;
}

ProgramId rootOf(const ProgramId &id)
{
    return ProgramId(id.value().substr(0, id.value().find('.')));
}

bool isValidProgramName(std::string_view name)
{
    if (name.empty() || name.size() > kMaxProgramNameBytes) {
        return false;
    }
    if (name.front() == '.' || name.back() == '.' || name.find("..") != std::string_view::npos) {
        return false;
    }
    return std::all_of(name.begin(), name.end(), isNameCharacter);
}

} // namespace basilhall::program
