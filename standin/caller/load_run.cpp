#include "standin/caller/load_run.h"

#include "standin/caller/completion_reader.h"
#include "standin/caller/http_session.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace standin
{

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace
{

std::int64_t percentile(const std::vector<std::int64_t> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

} // namespace

LoadRun::LoadRun(const asio::any_io_executor &executor, const CallerOptions &options)
    : m_executor(executor)
    , m_options(options)
{
}

void LoadRun::start()
{
    m_startedAt = Clock::now();
    for (std::size_t i = 0; i < m_options.connections; ++i) {
        asio::co_spawn(m_executor, work(i), asio::detached);
    }
}

asio::awaitable<void> LoadRun::work(std::size_t connection)
{
    const CallerTarget &entry = m_options.entries[connection % m_options.entries.size()];
    HttpSession session(m_executor, entry.ip, entry.port, m_options.timeout);
    std::size_t done = 0;
    while (m_begun < m_options.calls) {
        ++m_begun;
        const std::string program = m_options.run + "-" + std::to_string(connection) + "-"
            + std::to_string(done / m_options.callsPerProgram);
        ++done;
        json::array messages;
        messages.push_back(json::object{{"role", "user"}, {"content", "tokens=8"}});
        Request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = json::serialize(
            json::object{{"model", m_options.model}, {"messages", messages}, {"max_tokens", 16}});
        request.headers.push_back({"authorization", "Bearer " + m_options.key});
        request.headers.push_back({"content-type", "application/json"});
        request.headers.push_back({"x-basilhall-program", program});
        const Clock::time_point begin = Clock::now();
        const Reply reply = co_await session.send(request);
        m_endedAt = Clock::now();
        ++m_statuses[reply.status];
        if (reply.status != 200 || !completionText(reply)) {
            ++m_failures;
            continue;
        }
        m_latencies.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(m_endedAt - begin).count());
    }
}

std::string LoadRun::report() const
{
    std::vector<std::int64_t> sorted = m_latencies;
    std::sort(sorted.begin(), sorted.end());
    const double seconds = std::chrono::duration<double>(m_endedAt - m_startedAt).count();
    json::object statuses;
    for (const auto &[status, count] : m_statuses) {
        statuses[std::to_string(status)] = count;
    }
    return json::serialize(
        json::object{{"calls", m_begun},
                     {"failures", m_failures},
                     {"statuses", statuses},
                     {"connections", m_options.connections},
                     {"seconds", seconds},
                     {"callsPerSecond", static_cast<double>(sorted.size()) / seconds},
                     {"p50Us", percentile(sorted, 0.5)},
                     {"p90Us", percentile(sorted, 0.9)},
                     {"p99Us", percentile(sorted, 0.99)},
                     {"maxUs", sorted.empty() ? 0 : sorted.back()}});
}

} // namespace standin
