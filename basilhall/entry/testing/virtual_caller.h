// A caller in virtual time that runs the turns of one program, retries as a correct client does,
// and records the replies it receives.
#pragma once

#include "basilhall/entry/testing/virtual_host.h"
#include "basilhall/entry/testing/virtual_time.h"
#include "basilhall/ownership/shard_id.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace basilhall::testing
{

class VirtualCaller
{
public:
    VirtualCaller(VirtualTime &time, std::vector<std::unique_ptr<VirtualHost>> &hosts,
                  const Executions &executions, std::uint32_t shardCount, std::string program,
                  int calls)
        : m_time(time)
        , m_hosts(hosts)
        , m_executions(executions)
        , m_shardCount(shardCount)
        , m_program(std::move(program))
        , m_calls(calls)
    {
        nextCall();
    }

    bool isDone() const { return m_call > m_calls; }
    const std::string &program() const { return m_program; }
    // Call ids by the turn number that the caller received.
    const std::map<std::uint64_t, std::string> &receivedTurns() const { return m_receivedTurns; }
    // Keys of calls that were rejected as not run and not retried.
    const std::vector<std::string> &abandonedKeys() const { return m_abandonedKeys; }
    // Violations of the guarantees that the caller observed.
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    static constexpr Duration kRetryTimeout = std::chrono::seconds(8);

    bool isService() const { return m_call % 2 == 0; }
    std::string callId() const { return "c" + std::to_string(m_call); }
    std::string key() const { return m_program + "/" + callId(); }

    void nextCall()
    {
        ++m_call;
        m_mayHaveRun = false;
        if (!isDone()) {
            sendAfter(m_time.randomMillis(5, 60));
        }
    }

    wire::CallRequest request() const
    {
        wire::CallRequest request;
        request.set_call_id(callId());
        request.set_team("haulers");
        request.set_program_id(m_program);
        request.set_program_named(true);
        request.set_timeout_ms(20'000);
        request.set_kind(isService() ? wire::CALL_KIND_SERVICE : wire::CALL_KIND_MODEL);
        request.set_route(isService() ? "dispatch" : "m");
        request.set_http_method("POST");
        request.set_body(R"({"model":"m","max_tokens":40,"messages":[{"role":"user","content":")"
                         + callId() + R"("}]})");
        return request;
    }

    VirtualHost *target()
    {
        VirtualHost &asked = *m_hosts[m_time.random(m_hosts.size())];
        if (asked.isDown() || asked.isPaused()) {
            return nullptr;
        }
        const auto owners = asked.owners();
        const auto shard = ownership::shardOf(ProgramId(m_program), m_shardCount);
        if (shard >= owners.size()) {
            return nullptr;
        }
        if (owners[shard].isSelf) {
            return &asked;
        }
        for (const auto &host : m_hosts) {
            if (owners[shard].address == host->address() && !host->isDown()) {
                return host.get();
            }
        }
        return nullptr;
    }

    // Replies to earlier attempts of the call are ignored from now on.
    void sendAfter(Duration delay)
    {
        const std::uint64_t attempt = ++m_attempt;
        m_time.after(delay, [this, attempt] {
            if (attempt == m_attempt) {
                send();
            }
        });
    }

    void send()
    {
        VirtualHost *const host = target();
        if (host == nullptr) {
            sendAfter(m_time.randomMillis(50, 200));
            return;
        }
        const std::uint64_t attempt = ++m_attempt;
        host->call(++lastTicket(), request(), [this, attempt](const auto &result) {
            if (attempt == m_attempt) {
                handleResult(result);
            }
        });
        // Without an answer the outcome is unknown to the caller; it retries at a random host.
        m_time.after(kRetryTimeout, [this, attempt] {
            if (attempt == m_attempt) {
                m_mayHaveRun = true;
                sendAfter(Duration::zero());
            }
        });
    }

    void handleResult(const Result<wire::CallFinished> &result)
    {
        if (result) {
            handleFinished(result.value());
            return;
        }
        const Error &error = result.error();
        if (error.kind() == ErrorKind::OutcomeUnknown
            || error.kind() == ErrorKind::BudgetExceeded) {
            nextCall();
            return;
        }
        if (error.notRun() && !m_mayHaveRun && isService()) {
            checkNotRun();
            if (m_time.chance(200)) {
                m_abandonedKeys.push_back(key());
                nextCall();
                return;
            }
        }
        m_mayHaveRun = m_mayHaveRun || !error.notRun();
        sendAfter(m_time.randomMillis(50, 300));
    }

    void handleFinished(const wire::CallFinished &finished)
    {
        if (isService() && finished.answer().body() != "\"" + key() + "\"") {
            m_violations.push_back("answer of another call for " + key());
        }
        if (!m_receivedTurns.emplace(finished.turn(), callId()).second) {
            m_violations.push_back("two calls received the same turn in " + m_program);
        }
        nextCall();
    }

    void checkNotRun()
    {
        const auto found = m_executions.services.find(key());
        if (found != m_executions.services.end()) {
            m_violations.push_back("reported as not run, but ran: " + key());
        }
    }

    static owner::CallTicket &lastTicket()
    {
        static owner::CallTicket ticket = 0;
        return ticket;
    }

    VirtualTime &m_time;
    std::vector<std::unique_ptr<VirtualHost>> &m_hosts;
    const Executions &m_executions;
    const std::uint32_t m_shardCount;
    const std::string m_program;
    const int m_calls;
    int m_call = 0;
    std::uint64_t m_attempt = 0;
    bool m_mayHaveRun = false;
    std::map<std::uint64_t, std::string> m_receivedTurns;
    std::vector<std::string> m_abandonedKeys;
    std::vector<std::string> m_violations;
};

} // namespace basilhall::testing
