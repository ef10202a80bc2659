#include "basilhall/gateway/internal/peer_requests.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/output_codec.h"
#include "basilhall/gateway/internal/route_choice.h"
#include "basilhall/gateway/internal/update_codec.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/transport/server_stream.h"

#include <algorithm>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

// Time limit for making the records of a peer durable; the object API answers within a few
// milliseconds.
constexpr Duration kKeepTimeout = std::chrono::milliseconds(800);
// Size of the turns in one reply, newest first; the peer asks for those before them. Below the
// limit of a message, 8 MiB, by more than the other fields take.
constexpr std::size_t kMaxTurnReplyBytes = 7UL * 1024 * 1024;

wire::AdmitVerdict verdictOf(turns::Admission admission)
{
    switch (admission) {
    case turns::Admission::Admitted:
        return wire::ADMIT_VERDICT_ADMITTED;
    case turns::Admission::Exhausted:
        return wire::ADMIT_VERDICT_EXHAUSTED;
    default:
        return wire::ADMIT_VERDICT_ELSEWHERE;
    }
}

} // namespace

PeerRequests::PeerRequests(FleetState &state, TurnKeeper &keeper, logging::Log log,
                           std::function<bool()> receivesAllTurns,
                           std::function<void()> broadcastChanges,
                           std::function<JournalMarks()> journalMarks,
                           std::function<std::set<Incarnation>()> listedByHolder,
                           ForwardTurn forwardTurn, ConfirmSpending confirmSpending,
                           ChooseHome chooseHome)
    : m_state(state)
    , m_keeper(keeper)
    , m_log(std::move(log))
    , m_receivesAllTurns(std::move(receivesAllTurns))
    , m_broadcastChanges(std::move(broadcastChanges))
    , m_journalMarks(std::move(journalMarks))
    , m_listedByHolder(std::move(listedByHolder))
    , m_forwardTurn(std::move(forwardTurn))
    , m_confirmSpending(std::move(confirmSpending))
    , m_chooseHome(std::move(chooseHome))
{
}

asio::awaitable<void> PeerRequests::serve(std::shared_ptr<transport::ServerStream> stream)
{
    std::string reply;
    const auto isAbandoned = std::make_shared<bool>(false);
    stream->onCancelled([isAbandoned] { *isAbandoned = true; });
    if (m_hasEnded && stream->method() == kAdmitMethod) {
        co_return;
    }
    if (stream->method() == kKeepMethod) {
        reply = co_await keep(stream->request());
    } else if (stream->method() == kAdmitMethod) {
        reply = co_await admit(stream->request(), isAbandoned);
    } else if (stream->method() == kTurnMethod) {
        reply = co_await turn(stream->request());
    } else if (stream->method() == kStreamMethod) {
        reply = this->stream(stream->request());
    } else if (stream->method() == kSpendMethod) {
        reply = spend(stream->request());
    } else if (stream->method() == kLendMethod) {
        reply = lend(stream->request());
    } else if (stream->method() == kOutputMethod) {
        reply = output(stream->request());
    } else if (stream->method() == kSaidMethod) {
        reply = said(stream->request());
    } else if (stream->method() == kLedgerMethod && m_keeper.knowsLedger()) {
        reply = ledger();
    } else if (stream->method() == kLedgerMethod) {
        co_return;
    }
    if (*isAbandoned) {
        co_return;
    }
    if (reply.empty()) {
        m_log.warning("Dropped a malformed request of a peer.");
        co_return;
    }
    const Result<void> sent = co_await stream->send(std::move(reply));
    if (sent) {
        (void)co_await stream->finish();
    }
}

asio::awaitable<std::string> PeerRequests::keep(std::string request)
{
    wire::KeepRequest message;
    if (!message.ParseFromString(request)) {
        co_return std::string();
    }
    const std::set<Incarnation> announcedTo(message.announced_to().begin(),
                                            message.announced_to().end());
    for (const journal::Record &record : message.records()) {
        if (record.has_turn_kept()) {
            // The peer may not be a member of some holders, which then did not receive the turn.
            m_forwardTurn(record.turn_kept(), announcedTo);
        }
    }
    wire::KeepReply reply;
    reply.set_incarnation(m_state.self().value());
    if (m_hasEnded || !m_keeper.admitPeerRecords()) {
        reply.set_is_busy(true);
        co_return reply.SerializeAsString();
    }
    std::vector<journal::Record> records(message.records().begin(), message.records().end());
    const Result<void> kept = co_await m_keeper.keepForPeer(std::move(records), kKeepTimeout);
    reply.set_durable(kept.has_value());
    co_return reply.SerializeAsString();
}

asio::awaitable<std::string> PeerRequests::admit(std::string request,
                                                 std::shared_ptr<const bool> isAbandoned)
{
    wire::AdmitRequest message;
    if (!message.ParseFromString(request)) {
        co_return std::string();
    }
    turns::TurnBudget turn;
    turn.program = ProgramId(message.program_id());
    turn.team = TeamName(message.team());
    turn.budget = message.budget_tokens();
    turn.maxTokens = message.most_tokens();
    const Incarnation asker(message.asker_incarnation());
    wire::AdmitReply reply;
    reply.set_incarnation(m_state.self().value());
    reply.set_verdict(wire::ADMIT_VERDICT_ELSEWHERE);
    // Two homes of a program would each admit turns against its whole budget.
    const auto isForOtherHome = [&] {
        if (!m_state.budgets().isOrphan(turn.program)) {
            return false;
        }
        const auto chosen = m_chooseHome(turn.program);
        reply.set_chosen_incarnation(chosen ? chosen->holder.value() : std::string());
        reply.set_chosen_candidacy(chosen ? chosen->number : 0);
        return !chosen || chosen->holder != m_state.self();
    };
    for (std::uint32_t round = 0; m_keeper.knowsLedger() && round < kAdmissionRounds; ++round) {
        turns::BudgetLedger &budgets = m_state.budgets();
        if (isForOtherHome()) {
            break;
        }
        if (budgets.isOrphan(turn.program)
            && m_keeper.reader().mayMissSpendingOf(budgets.home(turn.program))) {
            // The lost home may have written spending that it did not send.
            Result<void> read = Error(ErrorKind::StoreUnavailable,
                                      "the object API is unavailable, so journals cannot be read");
            if (m_keeper.canPersist()) {
                read = co_await m_keeper.reader().refresh();
            }
            if (!read) {
                m_log.info("Cannot become the home of a program yet.",
                           Field("program", turn.program), Field("reason", read.error()));
                reply.set_verdict(wire::ADMIT_VERDICT_UNSPECIFIED);
                break;
            }
        }
        const Result<void> confirmed = co_await m_confirmSpending();
        if (!confirmed) {
            m_log.info("A turn is not admitted until the journals of other holders are read.",
                       Field("program", turn.program), Field("reason", confirmed.error()));
            reply.set_verdict(wire::ADMIT_VERDICT_UNSPECIFIED);
            break;
        }
        // The reads above take time. A turn that is granted to nobody would count as in flight.
        if (*isAbandoned || m_hasEnded) {
            reply.set_verdict(wire::ADMIT_VERDICT_UNSPECIFIED);
            break;
        }
        if (isForOtherHome()) {
            break;
        }
        const bool isNewHome = budgets.knows(turn.program) && budgets.isOrphan(turn.program);
        const turns::Admission admission = budgets.grant(asker, turn, MonotonicClock().now());
        if (isNewHome) {
            m_log.info("Became the home of a program.", Field("program", turn.program));
            m_broadcastChanges();
        }
        if (admission != turns::Admission::NeedsRecord) {
            reply.set_verdict(verdictOf(admission));
            if (admission != turns::Admission::Admitted) {
                break;
            }
            if (!budgets.mustRecordBeforeRun(turn.program)) {
                m_keeper.coverSoon(turn.program);
                break;
            }
            const Result<void> recorded = co_await m_keeper.cover(turn.program, kKeepTimeout);
            if (!recorded || *isAbandoned || m_hasEnded) {
                m_log.info("A turn is not admitted, since its record was not durable in time.",
                           Field("program", turn.program), Field("recorded", recorded.has_value()));
                budgets.withdrawGrant(asker, turn.program, MonotonicClock().now());
                reply.set_verdict(wire::ADMIT_VERDICT_UNSPECIFIED);
            }
            break;
        }
        const Result<void> covered = co_await m_keeper.cover(turn.program, kKeepTimeout);
        if (!covered) {
            m_log.info("A turn is not admitted until a record of earlier turns is durable.",
                       Field("program", turn.program), Field("reason", covered.error()));
            reply.set_verdict(wire::ADMIT_VERDICT_UNSPECIFIED);
            break;
        }
    }
    co_return reply.SerializeAsString();
}

asio::awaitable<JournalReader::ChainContent> PeerRequests::readContent(turns::TurnId id)
{
    const auto missing = m_state.turns().missing(id);
    // The peer reads what hosts of this failure domain may not hold itself.
    const bool mayRead = missing
        && std::all_of(missing->begin(), missing->end(), [this](const turns::StoredTurn &stored) {
                             return m_state.mayHold(stored.allowedRegions);
                         });
    if (!mayRead || missing->empty()) {
        co_return nullptr;
    }
    // The reason is logged. Without the content, the turn exists, but is not part of the reply.
    const auto content = co_await m_keeper.reader().readChain(id);
    co_return content ? content.value() : nullptr;
}

asio::awaitable<std::string> PeerRequests::turn(std::string request)
{
    wire::TurnRequest message;
    if (!message.ParseFromString(request)) {
        co_return std::string();
    }
    const turns::TurnId id(message.turn_id());
    wire::TurnReply reply;
    reply.set_incarnation(m_state.self().value());
    JournalReader::ChainContent content = co_await readContent(id);
    if (!m_state.turns().hasWholeChain(id)) {
        JournalReader &reader = m_keeper.reader();
        const bool isComplete =
            message.confirm() ? co_await reader.confirmAllTurns() : reader.knowsAllTurns();
        // The members may have changed meanwhile. A turn of which only a part of the chain is known
        // exists.
        reply.set_complete(isComplete && m_receivesAllTurns() && !m_state.turns().isKept(id));
        content = co_await readContent(id);
    }
    if (m_state.turns().hasWholeChain(id)) {
        std::size_t bytes = 0;
        for (const turns::KeptTurn &kept : m_state.turns().chain(id)) {
            journal::TurnKept record = toRecord(kept);
            bytes += record.ByteSizeLong();
            if (reply.turns_size() > 0 && bytes > kMaxTurnReplyBytes) {
                break;
            }
            *reply.add_turns() = std::move(record);
        }
        co_return reply.SerializeAsString();
    }
    for (const Incarnation &member : m_listedByHolder()) {
        reply.add_members(member.value());
    }
    co_return reply.SerializeAsString();
}

std::string PeerRequests::stream(const std::string &request) const
{
    wire::StreamRequest message;
    if (!message.ParseFromString(request)) {
        return {};
    }
    wire::StreamReply reply;
    reply.set_incarnation(m_state.self().value());
    if (const auto *origin = std::as_const(m_state).origins().find(CallId(message.call_id()))) {
        *reply.mutable_stream() = toRecord(*origin);
    }
    return reply.SerializeAsString();
}

std::string PeerRequests::spend(const std::string &request)
{
    wire::Update update;
    if (!update.ParseFromString(request)) {
        return {};
    }
    applyUpdate(update, MonotonicClock().now(), m_state);
    wire::SpendReply reply;
    reply.set_incarnation(m_state.self().value());
    return reply.SerializeAsString();
}

std::string PeerRequests::lend(const std::string &request)
{
    wire::LendRequest message;
    if (!message.ParseFromString(request)) {
        return {};
    }
    wire::LendReply reply;
    reply.set_incarnation(m_state.self().value());
    if (const auto *endpoint = m_state.endpoint(EndpointName(message.endpoint()))) {
        reply.set_granted(m_state.shareLoans().lend(m_state.placement().limits(), *endpoint,
                                                    message.requests(), MonotonicClock().now()));
    }
    return reply.SerializeAsString();
}

std::string PeerRequests::output(const std::string &request)
{
    wire::OutputPart part;
    if (!part.ParseFromString(request)) {
        return {};
    }
    wire::OutputReply reply;
    reply.set_incarnation(m_state.self().value());
    reply.set_verdict(toWire(m_state.outputs().add(fromWire(part), part.first_index())));
    return reply.SerializeAsString();
}

std::string PeerRequests::said(const std::string &request)
{
    wire::SaidRequest message;
    if (!message.ParseFromString(request)) {
        return {};
    }
    wire::SaidReply reply;
    reply.set_incarnation(m_state.self().value());
    if (const auto *output = m_state.outputs().find(CallId(message.stream()))) {
        *reply.mutable_output() = toWire(*output, 0);
    }
    return reply.SerializeAsString();
}

std::string PeerRequests::ledger() const
{
    wire::LedgerReply reply;
    reply.mutable_ledger()->set_incarnation(m_state.self().value());
    for (const auto &[home, report] : m_state.budgets().summary()) {
        *reply.mutable_ledger()->add_spends() = toRecord(home, report);
    }
    for (const auto &[incarnation, batch] : m_journalMarks()) {
        wire::JournalMark &mark = *reply.add_journals();
        mark.set_incarnation(incarnation.value());
        mark.set_batch(batch);
    }
    return reply.SerializeAsString();
}

} // namespace basilhall::gateway
