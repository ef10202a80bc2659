// Two entry hosts without traffic that share one in-memory object API, for the tests of this
// folder.
#pragma once

#include "basilhall/journal/reader.h"
#include "basilhall/ownership/claimer.h"
#include "basilhall/ownership/shard_states.h"
#include "basilhall/ownership/shard_table_reader.h"
#include "basilhall/store/memory_store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace basilhall::ownership::testing
{

using membership::EntryHost;
using membership::HostState;

inline constexpr std::uint32_t kShards = 16;
inline const Instant kStart = Instant(std::chrono::hours(1));

// The ownership components of one entry host.
struct Host {
    HostName name;
    Address address{"127.0.0.1", 7000};
    store::OperationIdSource ids;
    journal::Writer writer;
    ShardTable table{kShards};
    ShardTableReader tableReader{table, ids};
    Claimer claimer{name, address, writer, table, ids};

    Host(const std::string &hostName, const std::string &incarnation)
        : name(hostName)
        , writer(Incarnation(incarnation), ids, {})
    {
    }

    EntryHost entry(HostState state = HostState::Live) const
    {
        return {name, writer.incarnation(), address, state};
    }
};

struct HostFixture {
    store::MemoryStore memory;
    Instant now = kStart;
    Host a{"entry-a", "aa"};
    Host b{"entry-b", "bb"};

    template<typename Component>
    bool step(Component &component)
    {
        const auto operations = component.advance(now);
        for (const auto &operation : operations) {
            component.onOutcome(operation.id, memory.apply(operation.request), now);
        }
        return !operations.empty();
    }

    void run(Host &host)
    {
        host.tableReader.refreshAll();
        bool busy = true;
        while (busy) {
            busy = step(host.tableReader);
            busy = step(host.claimer) || busy;
            busy = step(host.writer) || busy;
        }
        now += std::chrono::seconds(1);
    }

    // Makes host `a` claim all shards and append one record to each.
    void claimAllShardsOnA()
    {
        a.claimer.setHosts({}, false);
        run(a);
        BOOST_REQUIRE_EQUAL(a.claimer.takeClaimed().size(), kShards);
        for (ShardId shard = 0; shard < kShards; ++shard) {
            append(a, shard, "p" + std::to_string(shard));
        }
        run(a);
    }

    journal::RecordTicket append(Host &host, ShardId shard, const std::string &program)
    {
        journal::Record record;
        record.set_shard(shard);
        record.mutable_program_opened()->set_program_id(program);
        return host.writer.append(record, now).value();
    }

    void writeTwoBatches()
    {
        for (int i = 0; i < 2; ++i) {
            append(a, 0, "other" + std::to_string(i));
            run(a);
        }
    }

    std::vector<std::string> replay(Host &host, const std::vector<ShardState> &states)
    {
        std::vector<std::string> programs;
        journal::Reader reader(states, host.ids, {});
        while (!reader.isDone()) {
            step(reader);
            for (const auto &record : reader.take()) {
                programs.push_back(record.program_opened().program_id());
            }
        }
        BOOST_TEST(reader.failures().empty());
        std::sort(programs.begin(), programs.end());
        return programs;
    }
};

} // namespace basilhall::ownership::testing
