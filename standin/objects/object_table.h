// The objects of one kind in one namespace, with their latest changes for watches.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace standin
{

struct StoredObject {
    std::string name;
    std::uint64_t version = 0;
    // JSON text with metadata.resourceVersion set.
    std::string document;
};

enum class ChangeType { Added, Modified, Deleted };

struct Change {
    ChangeType type;
    std::uint64_t version = 0;
    std::string document;
};

// Not thread-safe.
class ObjectTable
{
public:
    // Keeps the latest `maxChanges` changes.
    explicit ObjectTable(std::size_t maxChanges);

    const StoredObject *find(const std::string &name) const;
    void put(const StoredObject &object);
    // `document` is the last state of the object with the version of its deletion.
    void remove(const std::string &name, std::uint64_t version, const std::string &document);

    const std::map<std::string, StoredObject> &objects() const { return m_objects; }
    const std::deque<Change> &changes() const { return m_changes; }
    // Highest version whose change is no longer kept.
    std::uint64_t forgottenVersion() const { return m_forgottenVersion; }

private:
    void remember(Change change);

    std::size_t m_maxChanges;
    std::map<std::string, StoredObject> m_objects;
    std::deque<Change> m_changes;
    std::uint64_t m_forgottenVersion = 0;
};

} // namespace standin
