#include "basilhall/store/memory_store.h"

namespace basilhall::store
{

namespace
{

Error notFound(const ObjectKey &key)
{
    return Error(ErrorKind::NotFound,
                 "object \"" + key.kind + "/" + key.name + "\" does not exist");
}

Error conflict(const ObjectKey &key, const std::string &reason)
{
    return Error(ErrorKind::StoreConflict,
                 "object \"" + key.kind + "/" + key.name + "\" " + reason);
}

} // namespace

Outcome MemoryStore::apply(const Request &request)
{
    if (const auto *create = std::get_if<Create>(&request)) {
        return applyCreate(*create);
    }
    if (const auto *update = std::get_if<Update>(&request)) {
        return applyUpdate(*update);
    }
    if (const auto *read = std::get_if<Read>(&request)) {
        return applyRead(*read);
    }
    if (const auto *list = std::get_if<List>(&request)) {
        return applyList(*list);
    }
    return applyRemove(std::get<Remove>(request));
}

Outcome MemoryStore::applyCreate(const Create &create)
{
    ++m_writes;
    if (m_objects.contains(create.key)) {
        return conflict(create.key, "exists already");
    }
    return put(create.key, create.data);
}

Outcome MemoryStore::applyUpdate(const Update &update)
{
    ++m_writes;
    const auto found = m_objects.find(update.key);
    if (found == m_objects.end()) {
        return notFound(update.key);
    }
    if (found->second.version != update.expected) {
        return conflict(update.key, "has changed since version " + update.expected);
    }
    return put(update.key, update.data);
}

Outcome MemoryStore::applyRead(const Read &read)
{
    ++m_reads;
    const auto found = m_objects.find(read.key);
    if (found == m_objects.end()) {
        return notFound(read.key);
    }
    return std::vector<Object>{found->second};
}

Outcome MemoryStore::applyList(const List &list)
{
    ++m_reads;
    std::vector<Object> matches;
    for (auto it = m_objects.lower_bound(ObjectKey{list.kind, list.prefix}); it != m_objects.end()
         && it->first.kind == list.kind && it->first.name.starts_with(list.prefix);
         ++it) {
        if (it->first.name > list.after) {
            matches.push_back(it->second);
        }
    }
    return matches;
}

Outcome MemoryStore::applyRemove(const Remove &remove)
{
    ++m_writes;
    const auto found = m_objects.find(remove.key);
    if (found == m_objects.end()) {
        return notFound(remove.key);
    }
    if (remove.expected && found->second.version != *remove.expected) {
        return conflict(remove.key, "has changed since version " + *remove.expected);
    }
    m_objects.erase(found);
    return std::vector<Object>{};
}

Outcome MemoryStore::put(const ObjectKey &key, const std::string &data)
{
    ++m_lastVersion;
    Object object{key, std::to_string(m_lastVersion), data};
    m_objects.insert_or_assign(key, object);
    return std::vector<Object>{std::move(object)};
}

} // namespace basilhall::store
