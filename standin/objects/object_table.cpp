#include "standin/objects/object_table.h"

namespace standin
{

ObjectTable::ObjectTable(std::size_t maxChanges)
    : m_maxChanges(maxChanges)
{
}

const StoredObject *ObjectTable::find(const std::string &name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? nullptr : &found->second;
}

void ObjectTable::put(const StoredObject &object)
{
    const bool added = m_objects.insert_or_assign(object.name, object).second;
    remember({added ? ChangeType::Added : ChangeType::Modified, object.version, object.document});
}

void ObjectTable::remove(const std::string &name, std::uint64_t version,
                         const std::string &document)
{
    m_objects.erase(name);
    remember({ChangeType::Deleted, version, document});
}

void ObjectTable::remember(Change change)
{
    m_changes.push_back(std::move(change));
    while (m_changes.size() > m_maxChanges) {
        m_forgottenVersion = m_changes.front().version;
        m_changes.pop_front();
    }
}

} // namespace standin
