#include "basilhall/program/program_table.h"

#include <algorithm>

namespace basilhall::program
{

namespace
{

Error corrupt(std::string_view what, const std::string &program)
{
    return Error(ErrorKind::Corrupt, std::string(what) + " for program \"" + program + "\"");
}

} // namespace

Result<void> ProgramTable::apply(const journal::Record &record)
{
    const std::uint64_t known = m_shards[record.shard()].epoch;
    if (record.epoch() < known) {
        return Error(ErrorKind::Corrupt,
                     "record of epoch " + std::to_string(record.epoch()) + " follows epoch "
                         + std::to_string(known) + " in shard " + std::to_string(record.shard()));
    }
    if (record.epoch() > known) {
        beginEpoch(record.shard(), record.epoch());
    }
    switch (record.kind_case()) {
    case journal::Record::kProgramOpened:
        return applyOpened(record.shard(), record.program_opened());
    case journal::Record::kCallIntent:
        return applyIntent(record.call_intent());
    case journal::Record::kTurnSettled:
        return applySettled(record.turn_settled());
    case journal::Record::kCallWithdrawn:
        return applyWithdrawn(record.call_withdrawn());
    case journal::Record::kProgramEnded:
        return applyEnded(record.program_ended());
    case journal::Record::kLeaseRenewed:
    case journal::Record::kLimitReleased:
    case journal::Record::kTurnKept:
    case journal::Record::kProgramSpend:
    case journal::Record::kStreamBegun:
        return success();
    case journal::Record::kProgramSnapshot:
        return applySnapshot(record.shard(), record.program_snapshot());
    case journal::Record::KIND_NOT_SET:
        break;
    }
    return Error(ErrorKind::Corrupt,
                 "record of unknown kind in shard " + std::to_string(record.shard()));
}

void ProgramTable::beginEpoch(std::uint32_t shard, std::uint64_t epoch)
{
    Shard &state = m_shards[shard];
    state.epoch = epoch;
    for (const ProgramId &id : state.programs) {
        Program &program = m_programs.at(id);
        replaceReservation(program, program.m_reservedTokens, 0);
        if (program.m_openIntent && program.m_openIntent->idempotent()) {
            program.m_openIntent.reset();
        }
    }
}

void ProgramTable::removeShard(std::uint32_t shard)
{
    const auto found = m_shards.find(shard);
    if (found == m_shards.end()) {
        return;
    }
    for (const ProgramId &id : found->second.programs) {
        m_programs.erase(id);
        m_accounts.erase(id);
    }
    m_shards.erase(found);
}

void ProgramTable::remove(const ProgramId &id)
{
    m_programs.erase(id);
    m_accounts.erase(id);
    for (auto &[shard, state] : m_shards) {
        state.programs.erase(id);
    }
}

const Program *ProgramTable::find(const ProgramId &id) const
{
    const auto found = m_programs.find(id);
    return found == m_programs.end() ? nullptr : &found->second;
}

const BudgetAccount *ProgramTable::accountOf(const ProgramId &id) const
{
    const auto found = m_accounts.find(rootOf(id));
    return found == m_accounts.end() ? nullptr : &found->second;
}

std::vector<const Program *> ProgramTable::programsOf(std::uint32_t shard) const
{
    std::vector<const Program *> programs;
    const auto found = m_shards.find(shard);
    if (found == m_shards.end()) {
        return programs;
    }
    for (const ProgramId &id : found->second.programs) {
        programs.push_back(&m_programs.at(id));
    }
    return programs;
}

std::vector<journal::Record> ProgramTable::snapshot(std::uint32_t shard) const
{
    std::vector<const Program *> programs = programsOf(shard);
    std::sort(programs.begin(), programs.end(),
              [](const Program *a, const Program *b) { return a->id() < b->id(); });
    std::vector<journal::Record> records;
    for (const Program *program : programs) {
        journal::Record record;
        record.set_shard(shard);
        record.set_epoch(m_shards.at(shard).epoch);
        journal::ProgramSnapshot &snapshot = *record.mutable_program_snapshot();
        snapshot.set_program_id(program->id().value());
        *snapshot.mutable_opened() = program->opened();
        for (const journal::TurnSettled &turn : program->turns()) {
            *snapshot.add_turns() = turn;
        }
        if (program->openIntent()) {
            *snapshot.mutable_open_intent() = *program->openIntent();
        }
        if (program->ended()) {
            *snapshot.mutable_ended() = *program->ended();
        }
        if (const auto account = m_accounts.find(program->id()); account != m_accounts.end()) {
            snapshot.set_spent_tokens(account->second.spent());
        }
        snapshot.set_reserved_tokens(program->reservedTokens());
        records.push_back(std::move(record));
    }
    return records;
}

Result<void> ProgramTable::applyOpened(std::uint32_t shard, const journal::ProgramOpened &opened)
{
    Program program(opened);
    if (m_programs.contains(program.id())) {
        return corrupt("duplicate opening record", opened.program_id());
    }
    const bool isRoot = program.id() == program.root();
    if (isRoot) {
        m_accounts.insert_or_assign(program.id(), BudgetAccount(opened.budget_tokens()));
    }
    BudgetAccount *const account = accountOfMutable(program);
    if (account == nullptr) {
        return corrupt("missing root program", opened.program_id());
    }
    account->reserve(opened.reserved_tokens());
    m_shards[shard].programs.insert(program.id());
    m_programs.emplace(program.id(), std::move(program));
    return success();
}

Result<void> ProgramTable::applyIntent(const journal::CallIntent &intent)
{
    Program *const program = findMutable(intent.program_id());
    if (program == nullptr || program->m_openIntent) {
        return corrupt("unexpected call intent", intent.program_id());
    }
    accountOfMutable(*program)->reserve(intent.reserved_tokens());
    program->m_reservedTokens += intent.reserved_tokens();
    program->m_openIntent = intent;
    return success();
}

Result<void> ProgramTable::applySettled(const journal::TurnSettled &settled)
{
    Program *const program = findMutable(settled.program_id());
    if (program == nullptr || settled.turn() != program->nextTurn()) {
        return corrupt("turn " + std::to_string(settled.turn()) + " out of order",
                       settled.program_id());
    }
    replaceReservation(*program, settled.spent_tokens(), settled.reserved_next_tokens());
    program->m_openIntent.reset();
    program->m_turnBytes += settled.ByteSizeLong();
    program->m_turns.push_back(settled);
    return success();
}

Result<void> ProgramTable::applyWithdrawn(const journal::CallWithdrawn &withdrawn)
{
    Program *const program = findMutable(withdrawn.program_id());
    if (program == nullptr) {
        return corrupt("call withdrawal without opening record", withdrawn.program_id());
    }
    replaceReservation(*program, withdrawn.spent_tokens(), 0);
    program->m_openIntent.reset();
    return success();
}

Result<void> ProgramTable::applyEnded(const journal::ProgramEnded &ended)
{
    Program *const program = findMutable(ended.program_id());
    if (program == nullptr) {
        return corrupt("end record without opening record", ended.program_id());
    }
    replaceReservation(*program, 0, 0);
    program->m_ended = ended;
    return success();
}

Result<void> ProgramTable::applySnapshot(std::uint32_t shard,
                                         const journal::ProgramSnapshot &snapshot)
{
    if (snapshot.has_opened()) {
        journal::ProgramOpened opened = snapshot.opened();
        opened.set_reserved_tokens(snapshot.reserved_tokens());
        BOOST_OUTCOME_TRY(applyOpened(shard, opened));
    }
    Program *const program = findMutable(snapshot.program_id());
    if (program == nullptr) {
        return corrupt("snapshot without opening record", snapshot.program_id());
    }
    for (const journal::TurnSettled &turn : snapshot.turns()) {
        if (turn.turn() != program->nextTurn()) {
            return corrupt("turn " + std::to_string(turn.turn()) + " out of order",
                           snapshot.program_id());
        }
        program->m_turnBytes += turn.ByteSizeLong();
        program->m_turns.push_back(turn);
    }
    if (snapshot.spent_tokens() > 0) {
        accountOfMutable(*program)->settle(0, snapshot.spent_tokens());
    }
    if (snapshot.has_open_intent()) {
        program->m_openIntent = snapshot.open_intent();
    }
    if (snapshot.has_ended()) {
        program->m_ended = snapshot.ended();
    }
    return success();
}

Program *ProgramTable::findMutable(const std::string &id)
{
    const auto found = m_programs.find(ProgramId(id));
    return found == m_programs.end() ? nullptr : &found->second;
}

BudgetAccount *ProgramTable::accountOfMutable(const Program &program)
{
    const auto found = m_accounts.find(program.root());
    return found == m_accounts.end() ? nullptr : &found->second;
}

void ProgramTable::replaceReservation(Program &program, std::uint64_t spent,
                                      std::uint64_t nextReserved)
{
    BudgetAccount *const account = accountOfMutable(program);
    account->settle(program.m_reservedTokens, spent);
    account->reserve(nextReserved);
    program.m_reservedTokens = nextReserved;
}

} // namespace basilhall::program
