#include "standin/caller/program_run.h"

#include "standin/caller/completion_reader.h"
#include "standin/caller/history_check.h"
#include "standin/caller/http_session.h"
#include "standin/engine/chat.h"
#include "standin/sleep.h"

#include <boost/json.hpp>

namespace standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kRetryPause(100);
constexpr std::size_t kMaxTokens = 64;
// Each third tool call is an order, which must not run twice.
constexpr std::size_t kOrderEach = 3;

std::string errorKind(const Reply &reply)
{
    boost::system::error_code failure;
    const json::value document = json::parse(reply.body, failure);
    if (failure || !document.is_object()) {
        return {};
    }
    const json::value *error = document.get_object().if_contains("error");
    if (error == nullptr || !error->is_object()) {
        return {};
    }
    const json::value *kind = error->get_object().if_contains("kind");
    return kind != nullptr && kind->is_string() ? std::string(kind->get_string()) : std::string();
}

// True if the same call may be sent once more under the same name.
bool mayRetry(const Reply &reply)
{
    if (errorKind(reply) == "outcome_unknown") {
        return false;
    }
    return reply.status == 0 || reply.status == 429 || reply.status >= 500;
}

std::string shortened(const std::string &text)
{
    constexpr std::size_t kMaxShown = 160;
    return text.substr(0, kMaxShown);
}

} // namespace

class ProgramRun::Private
{
public:
    Private(const asio::any_io_executor &e, const CallerOptions &o, std::string name, std::string p,
            std::size_t t, std::size_t s)
        : executor(e)
        , options(o)
        , program(std::move(name))
        , parent(std::move(p))
        , turns(t)
        , subAgents(s)
    {
        for (const CallerTarget &entry : options.entries) {
            sessions.push_back(
                std::make_unique<HttpSession>(executor, entry.ip, entry.port, options.timeout));
        }
        nextSession = std::hash<std::string>()(program) % sessions.size();
        result.program = program;
    }

    asio::awaitable<void> runAll()
    {
        for (std::size_t turn = 1; turn <= turns && result.faults.empty(); ++turn) {
            co_await callModel(turn);
            if (turn == 1) {
                co_await runSubAgents();
            }
            if (turn < turns && result.faults.empty()) {
                co_await pauseForTool(turn);
            }
        }
        co_await checkHistory();
        co_await readBudget();
        if (!options.keepPrograms) {
            co_await end();
        }
    }

    asio::awaitable<void> callModel(std::size_t turn)
    {
        const std::size_t words = 4 + (turn * 7) % 12;
        const bool stream = turn % 2 == 0;
        const ChatMessage question{"user",
                                   "program " + program + " turn " + std::to_string(turn)
                                       + " tokens=" + std::to_string(words)};
        json::array list;
        list.push_back(json::object{{"role", question.role}, {"content", question.content}});
        const json::object body{{"model", options.model},
                                {"messages", list},
                                {"max_tokens", kMaxTokens},
                                {"stream", stream}};
        messages.push_back(question);
        const std::string expected = answerText(messages, words);
        const Reply reply =
            co_await callUntilDone("POST", "/v1/chat/completions", json::serialize(body));
        if (reply.status != 200) {
            fault("turn " + std::to_string(turn) + ": status " + std::to_string(reply.status) + " "
                  + shortened(reply.body));
            co_return;
        }
        const std::optional<std::string> text = completionText(reply);
        if (!text || *text != expected) {
            fault("turn " + std::to_string(turn) + ": answer \""
                  + shortened(text.value_or("not whole: " + reply.body)) + "\", expected \""
                  + shortened(expected) + "\"");
        }
        messages.push_back({"assistant", expected});
        history.push_back({HistoryEntry::Kind::Model, question.content, expected});
        ++result.turns;
        result.streamed += stream ? 1 : 0;
    }

    asio::awaitable<void> runSubAgents()
    {
        constexpr std::size_t kSubAgentTurns = 2;
        for (std::size_t i = 0; i < subAgents; ++i) {
            ProgramRun run(executor, options, program + ".sub" + std::to_string(i), program,
                           kSubAgentTurns, 0);
            const ProgramResult sub = co_await run.run();
            result.turns += sub.turns;
            result.streamed += sub.streamed;
            result.retries += sub.retries;
            result.cut += sub.cut;
            result.serviceCalls += sub.serviceCalls;
            for (const std::string &text : sub.faults) {
                fault("sub-agent " + sub.program + ": " + text);
            }
        }
    }

    asio::awaitable<void> pauseForTool(std::size_t turn)
    {
        co_await sleepFor(options.pause);
        const bool isOrder = turn % kOrderEach == 0 && !options.orderRoute.empty();
        const std::string &route = isOrder ? options.orderRoute : options.toolRoute;
        if (route.empty()) {
            co_return;
        }
        const std::string body =
            json::serialize(json::object{{"program", program}, {"turn", turn}});
        const Reply reply = co_await callUntilDone("POST", "/v1/services/" + route + "/run", body);
        if (isOrder && errorKind(reply) == "outcome_unknown") {
            ++result.unknown;
            history.push_back({HistoryEntry::Kind::Unknown, {}, {}});
            co_return;
        }
        if (reply.status != 200 || reply.body.find("\"executions\":") == std::string::npos) {
            fault("service " + route + ": status " + std::to_string(reply.status) + " "
                  + shortened(reply.body));
            co_return;
        }
        ++result.serviceCalls;
        history.push_back({HistoryEntry::Kind::Service, {}, reply.body});
    }

    asio::awaitable<void> checkHistory()
    {
        const Reply reply = co_await ask("GET", "/v1/programs/" + program + "/history");
        if (reply.status != 200) {
            fault("history: status " + std::to_string(reply.status) + " " + shortened(reply.body));
            co_return;
        }
        for (const std::string &text : historyFaults(reply.body, history)) {
            fault("history: " + text);
        }
    }

    asio::awaitable<void> readBudget()
    {
        const Reply reply = co_await ask("GET", "/v1/programs/" + program);
        try {
            const json::value document = json::parse(reply.body);
            const json::object &budget = document.at("budget").as_object();
            result.spentTokens = budget.at("spent_tokens").to_number<std::uint64_t>();
            if (result.spentTokens > budget.at("limit_tokens").to_number<std::uint64_t>()) {
                fault("the budget is exceeded");
            }
        } catch (const std::exception &) {
            fault("status: " + shortened(reply.body));
        }
    }

    asio::awaitable<void> end()
    {
        const Reply reply = co_await ask("DELETE", "/v1/programs/" + program);
        if (reply.status >= 300) {
            fault("end: status " + std::to_string(reply.status) + " " + shortened(reply.body));
        }
    }

    // Sends the call that takes the program's next turn.
    asio::awaitable<Reply> callUntilDone(std::string method, std::string path, std::string body)
    {
        const std::string turn = std::to_string(history.size() + 1);
        Request request = makeRequest(std::move(method), std::move(path), std::move(body));
        const std::string call = program + "-" + turn;
        request.headers.push_back({"x-basilhall-program", program});
        request.headers.push_back({"x-basilhall-turn", turn});
        request.headers.push_back({"x-basilhall-call", call});
        request.headers.push_back({"idempotency-key", call});
        if (!parent.empty()) {
            request.headers.push_back({"x-basilhall-parent", parent});
        }
        co_return co_await sendUntilDone(std::move(request));
    }

    asio::awaitable<Reply> ask(std::string method, std::string path)
    {
        Request request = makeRequest(std::move(method), std::move(path), {});
        co_return co_await sendUntilDone(std::move(request));
    }

    Request makeRequest(std::string method, std::string path, std::string body) const
    {
        Request request;
        request.method = std::move(method);
        request.path = std::move(path);
        request.body = std::move(body);
        request.headers.push_back({"authorization", "Bearer " + options.key});
        if (!request.body.empty()) {
            request.headers.push_back({"content-type", "application/json"});
        }
        return request;
    }

    asio::awaitable<Reply> sendUntilDone(Request request)
    {
        const Clock::time_point giveUp = Clock::now() + options.retryFor;
        for (;;) {
            HttpSession &session = *sessions[nextSession++ % sessions.size()];
            Reply reply = co_await session.send(request);
            const bool broken = reply.status == 200
                && reply.contentType.starts_with("text/event-stream") && !completionText(reply);
            if ((!mayRetry(reply) && !broken) || Clock::now() > giveUp) {
                co_return reply;
            }
            ++result.retries;
            result.cut += reply.cut || broken ? 1 : 0;
            co_await sleepFor(kRetryPause);
        }
    }

    void fault(std::string text) { result.faults.push_back(std::move(text)); }

    asio::any_io_executor executor;
    const CallerOptions &options;
    std::string program;
    std::string parent;
    std::size_t turns;
    std::size_t subAgents;
    std::vector<std::unique_ptr<HttpSession>> sessions;
    std::size_t nextSession = 0;
    std::vector<ChatMessage> messages;
    std::vector<HistoryEntry> history;
    ProgramResult result;
};

ProgramRun::ProgramRun(const asio::any_io_executor &executor, const CallerOptions &options,
                       std::string program, std::string parent, std::size_t turns,
                       std::size_t subAgents)
    : d(std::make_unique<Private>(executor, options, std::move(program), std::move(parent), turns,
                                  subAgents))
{
}

ProgramRun::~ProgramRun() = default;

asio::awaitable<ProgramResult> ProgramRun::run()
{
    const Clock::time_point begin = Clock::now();
    co_await d->runAll();
    d->result.time = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
    co_return d->result;
}

} // namespace standin
