// Reports state changes of an entry host to the log, the audit trail and the metrics.
//
//     reporter.shardChanged({ShardEvent::Lost, shard});
#pragma once

#include "basilhall/audit/recorder.h"
#include "basilhall/base/error.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/entry/shard_report.h"
#include "basilhall/logging/log.h"
#include "basilhall/logging/log_system.h"
#include "basilhall/manifest/manifest.h"
#include "basilhall/metrics/registry.h"

#include <functional>
#include <memory>
#include <string>

namespace basilhall::entry
{

// Control thread only.
class ChangeReporter
{
public:
    // The references must outlive the reporter.
    ChangeReporter(HostName host, logging::LogSystem &logs, metrics::Registry &registry,
                   std::shared_ptr<audit::Recorder> recorder, std::function<Instant()> now);

    void shardChanged(const ShardReport &report);
    // `before` is null for the first manifest.
    void manifestInForce(const manifest::Manifest *before, const manifest::Manifest &now);
    void manifestRefused(const Error &error);
    void draining();

private:
    void logShard(const ShardReport &report) const;
    void auditShard(const ShardReport &report);
    void audit(audit::EventKind kind, std::string subject, std::string detail);

    const HostName m_host;
    const logging::Log m_entryLog;
    const logging::Log m_ownershipLog;
    const logging::Log m_manifestLog;
    metrics::Registry &m_registry;
    const std::shared_ptr<audit::Recorder> m_recorder;
    const std::function<Instant()> m_now;
};

} // namespace basilhall::entry
