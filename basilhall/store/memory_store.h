// In-memory object store for tests and for simulating several hosts in one process.
//
//     MemoryStore store;
//     store.apply(Create{{"journals", "a-1"}, "x"});      // an Object
//     store.apply(Create{{"journals", "a-1"}, "y"});      // StoreConflict
#pragma once

#include "basilhall/store/operation.h"
#include "basilhall/store/outcome.h"

#include <map>

namespace basilhall::store
{

// Not thread-safe. Applies each request immediately and atomically; the test decides when the
// outcome is delivered, repeated or dropped.
class MemoryStore
{
public:
    Outcome apply(const Request &request);

    const std::map<ObjectKey, Object> &objects() const { return m_objects; }
    // Number of writes so far, including rejected ones.
    std::uint64_t writes() const { return m_writes; }
    // Number of reads and lists so far.
    std::uint64_t reads() const { return m_reads; }

private:
    Outcome applyCreate(const Create &create);
    Outcome applyUpdate(const Update &update);
    Outcome applyRead(const Read &read);
    Outcome applyList(const List &list);
    Outcome applyRemove(const Remove &remove);
    Outcome put(const ObjectKey &key, const std::string &data);

    std::map<ObjectKey, Object> m_objects;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
};

} // namespace basilhall::store
