// A program: its turns in order, its call in progress, if any, and its reserved tokens.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/journal/record.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::program
{

// Changed only by ProgramTable, which applies records. Not thread-safe.
class Program
{
public:
    explicit Program(const journal::ProgramOpened &opened);

    const ProgramId &id() const { return m_id; }
    // The program whose budget account is charged: the program itself, or the root of a sub-agent.
    const ProgramId &root() const { return m_root; }
    const TeamName &team() const { return m_team; }
    const journal::ProgramOpened &opened() const { return m_opened; }
    const std::vector<journal::TurnSettled> &turns() const { return m_turns; }
    const std::optional<journal::CallIntent> &openIntent() const { return m_openIntent; }
    const std::optional<journal::ProgramEnded> &ended() const { return m_ended; }
    // Number of the next turn, starting at 1.
    std::uint64_t nextTurn() const { return m_turns.size() + 1; }
    // Tokens that the next model call may spend without a separate journal record.
    std::uint64_t reservedTokens() const { return m_reservedTokens; }
    // Returns the settled turn of `callId`, or null.
    const journal::TurnSettled *turnOfCall(const CallId &callId) const;
    // Encoded size of all turns, in bytes.
    std::uint64_t turnBytes() const { return m_turnBytes; }
    // All messages so far as elements of a JSON array, without the brackets.
    std::string messages() const;

private:
    friend class ProgramTable;

    ProgramId m_id;
    ProgramId m_root;
    TeamName m_team;
    journal::ProgramOpened m_opened;
    std::vector<journal::TurnSettled> m_turns;
    std::optional<journal::CallIntent> m_openIntent;
    std::optional<journal::ProgramEnded> m_ended;
    std::uint64_t m_reservedTokens = 0;
    std::uint64_t m_turnBytes = 0;
};

// Returns the root of a program: the part of its name before the first '.'.
ProgramId rootOf(const ProgramId &id);

// Returns whether `name` is at most kMaxProgramNameBytes long, contains only letters, digits, '-',
// '_' and '.', and consists of one or more non-empty parts that are separated by '.'.
bool isValidProgramName(std::string_view name);

inline constexpr std::size_t kMaxProgramNameBytes = 128;

} // namespace basilhall::program
