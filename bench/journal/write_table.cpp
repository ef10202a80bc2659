#include "bench/journal/tables.h"

#include "basilhall/journal/writer.h"

#include <algorithm>
#include <iomanip>
#include <memory>
#include <vector>

namespace basilhall::bench
{

namespace
{

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kApiLatency = std::chrono::milliseconds(5);
constexpr int kSteps = 20000;
constexpr std::size_t kWriteBudget = 200;
constexpr std::size_t kRecordBytes = 1024;

struct Appended {
    journal::RecordTicket ticket;
    Instant at;
};

// One host: its writer, the create under way, and the records not yet durable.
struct Host {
    std::unique_ptr<journal::Writer> writer;
    std::vector<store::Operation> underWay;
    Instant answerAt;
    std::vector<Appended> waiting;
};

struct Totals {
    std::size_t writes = 0;
    std::size_t bytes = 0;
    std::vector<double> delaysMs;
};

void stepHost(Host &host, Instant now, Totals &totals)
{
    if (!host.underWay.empty() && now >= host.answerAt) {
        const std::vector<store::Object> answer{store::Object()};
        host.writer->onOutcome(host.underWay.front().id, answer, now);
        host.underWay.clear();
        const auto durable =
            std::find_if(host.waiting.begin(), host.waiting.end(), [&host](const Appended &one) {
                return one.ticket > host.writer->durableTicket();
            });
        for (auto it = host.waiting.begin(); it != durable; ++it) {
            totals.delaysMs.push_back(
                std::chrono::duration<double, std::milli>(now - it->at).count());
        }
        host.waiting.erase(host.waiting.begin(), durable);
    }
    auto operations = host.writer->advance(now);
    if (!operations.empty()) {
        ++totals.writes;
        totals.bytes += std::get<store::Create>(operations.front().request).data.size();
        host.underWay = std::move(operations);
        host.answerAt = now + kApiLatency;
    }
}

Totals run(std::size_t hosts, std::size_t callsPerSecond)
{
    store::OperationIdSource ids;
    journal::WriterOptions options;
    options.flushInterval = journal::flushIntervalFor(hosts, kWriteBudget);
    std::vector<Host> fleet(hosts);
    for (std::size_t i = 0; i < hosts; ++i) {
        fleet[i].writer = std::make_unique<journal::Writer>(Incarnation("host" + std::to_string(i)),
                                                            ids, options);
    }
    journal::Record record;
    record.mutable_turn_settled()->set_body(std::string(kRecordBytes, 'x'));
    Totals totals;
    Instant now = Instant(std::chrono::hours(1));
    std::size_t calls = 0;
    for (int step = 0; step < kSteps; ++step, now += kStep) {
        const std::size_t due = callsPerSecond * static_cast<std::size_t>(step) / 1000;
        for (; calls < due; ++calls) {
            Host &host = fleet[calls % hosts];
            host.waiting.push_back({host.writer->append(record, now).value(), now});
        }
        for (Host &host : fleet) {
            stepHost(host, now, totals);
        }
    }
    std::sort(totals.delaysMs.begin(), totals.delaysMs.end());
    return totals;
}

} // namespace

void printWriteTable(std::ostream &out)
{
    out << "Writes of all journals in 20 s, API answers in 5 ms, budget " << kWriteBudget
        << " writes/s, one record of 1 KB a call\n"
        << " hosts  calls/s  writes/s   MB/s  durable p50 ms  p99 ms\n";
    constexpr double kSeconds = kSteps / 1000.0;
    for (const std::size_t hosts : {3, 30, 340}) {
        for (const std::size_t calls : {10, 100, 1000, 9800}) {
            const Totals totals = run(hosts, calls);
            const auto at = [&totals](double share) {
                const auto last = static_cast<double>(totals.delaysMs.size() - 1);
                return totals.delaysMs.at(static_cast<std::size_t>(last * share));
            };
            out << std::fixed << std::setprecision(1) << std::setw(6) << hosts << std::setw(9)
                << calls << std::setw(10) << static_cast<double>(totals.writes) / kSeconds
                << std::setw(7) << static_cast<double>(totals.bytes) / kSeconds / 1e6
                << std::setw(16) << at(0.5) << std::setw(8) << at(0.99) << "\n";
        }
    }
}

} // namespace basilhall::bench
