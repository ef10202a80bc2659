#include "basilhall/entry/change_reporter.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/manifest/diff.h"

namespace basilhall::entry
{

using logging::Field;

ChangeReporter::ChangeReporter(HostName host, logging::LogSystem &logs, metrics::Registry &registry,
                               std::shared_ptr<audit::Recorder> recorder,
                               std::function<Instant()> now)
    : m_host(std::move(host))
    , m_entryLog(logs.log("entry"))
    , m_ownershipLog(logs.log("ownership"))
    , m_manifestLog(logs.log("manifest"))
    , m_registry(registry)
    , m_recorder(std::move(recorder))
    , m_now(std::move(now))
{
}

void ChangeReporter::shardChanged(const ShardReport &report)
{
    logShard(report);
    auditShard(report);
}

void ChangeReporter::manifestInForce(const manifest::Manifest *before,
                                     const manifest::Manifest &now)
{
    m_manifestLog.info("A manifest is now in force.", Field("generation", now.generation()));
    if (before != nullptr) {
        for (std::string &key : manifest::withdrawnKeys(before->content(), now.content())) {
            audit(audit::EventKind::KeyWithdrawn, std::move(key), "");
        }
    }
    audit(audit::EventKind::ManifestInForce, "generation " + std::to_string(now.generation()), "");
}

void ChangeReporter::manifestRefused(const Error &error)
{
    m_manifestLog.error("Refused a manifest.", Field("error", error));
    m_registry.counter(metrics::Metric::ManifestRefusals).add();
    audit(audit::EventKind::Refusal, "manifest", error.message());
}

void ChangeReporter::draining()
{
    m_entryLog.info("Draining.");
    audit(audit::EventKind::Drain, "host " + m_host.value(), "");
    m_recorder->flush(m_now());
}

void ChangeReporter::logShard(const ShardReport &report) const
{
    const Field shard("shard", report.shard);
    const Field epoch("epoch", report.epoch);
    switch (report.event) {
    case ShardEvent::Claimed:
        m_ownershipLog.info("Claimed a shard.", shard, epoch);
        return;
    case ShardEvent::Served:
        m_ownershipLog.info("Serving a shard.", shard, epoch, Field("records", report.records));
        return;
    case ShardEvent::Lost:
        m_ownershipLog.warning("Lost a shard to another host.", shard);
        return;
    case ShardEvent::HandedOver:
        m_ownershipLog.info("Handed a shard over.", shard);
        return;
    case ShardEvent::Faulty:
        m_ownershipLog.error("Cannot use a stored object.", shard, Field("error", *report.error));
        return;
    }
}

void ChangeReporter::auditShard(const ShardReport &report)
{
    const std::string subject = "shard " + std::to_string(report.shard);
    const std::string epoch = "epoch " + std::to_string(report.epoch);
    if (report.event == ShardEvent::Claimed && report.isTakeover) {
        m_registry.counter(metrics::Metric::Takeovers).add();
        audit(audit::EventKind::Takeover, subject, epoch);
    } else if (report.event == ShardEvent::HandedOver) {
        audit(audit::EventKind::Handover, subject, "");
    } else if (report.event == ShardEvent::Lost) {
        m_registry.counter(metrics::Metric::ShardsLost).add();
        audit(audit::EventKind::Seal, subject, "sealed by another host");
    } else if (report.event == ShardEvent::Faulty) {
        audit(audit::EventKind::Refusal, subject, report.error->message());
    }
}

void ChangeReporter::audit(audit::EventKind kind, std::string subject, std::string detail)
{
    m_recorder->record(kind, std::move(subject), std::move(detail), MonotonicClock().wallMillis(),
                       m_now());
}

} // namespace basilhall::entry
