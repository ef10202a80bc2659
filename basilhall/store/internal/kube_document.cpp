#include "basilhall/store/internal/kube_document.h"

#include "basilhall/base/base64.h"

#include <boost/json.hpp>

namespace basilhall::store
{

namespace json = boost::json;

namespace
{

constexpr int kStatusGone = 410;

Error corrupt(const std::string &kind, const std::string &name, const std::string &reason)
{
    return Error(ErrorKind::Corrupt, "object \"" + kind + "/" + name + "\" is corrupt: " + reason);
}

// Returns the kind for its plural, such as "Shard" for "shards".
std::string kindFromPlural(std::string_view plural)
{
    std::string kind(plural);
    if (kind.ends_with('s')) {
        kind.pop_back();
    }
    if (!kind.empty() && kind.front() >= 'a' && kind.front() <= 'z') {
        kind.front() = static_cast<char>(kind.front() - 'a' + 'A');
    }
    return kind;
}

// Returns the string field `name`, or nullptr if there is none.
const json::string *stringField(const json::object &fields, std::string_view name)
{
    const json::value *value = fields.if_contains(name);
    return value == nullptr ? nullptr : value->if_string();
}

Result<json::object> parseFields(const std::string &kind, const std::string &name,
                                 std::string_view text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    if (error) {
        return corrupt(kind, name, "it is not JSON");
    }
    if (!value.is_object()) {
        return corrupt(kind, name, "it is not a JSON object");
    }
    return std::move(value.as_object());
}

Result<Object> objectFrom(const std::string &kind, const json::value &value)
{
    const json::object *fields = value.if_object();
    const json::value *metadata = fields == nullptr ? nullptr : fields->if_contains("metadata");
    if (metadata == nullptr || !metadata->is_object()) {
        return corrupt(kind, "?", "metadata is missing");
    }
    const json::string *name = stringField(metadata->get_object(), "name");
    if (name == nullptr) {
        return corrupt(kind, "?", "metadata.name is missing");
    }
    const std::string nameText(*name);
    const json::string *version = stringField(metadata->get_object(), "resourceVersion");
    if (version == nullptr) {
        return corrupt(kind, nameText, "metadata.resourceVersion is missing");
    }
    const json::string *data = stringField(*fields, "data");
    if (data == nullptr) {
        return corrupt(kind, nameText, "data is missing");
    }
    std::optional<std::string> bytes = decodeBase64(*data);
    if (!bytes) {
        return corrupt(kind, nameText, "data is not base64");
    }
    return Object{{kind, nameText}, std::string(*version), std::move(*bytes)};
}

bool isGone(const json::value &status)
{
    const json::object *fields = status.if_object();
    const json::value *code = fields == nullptr ? nullptr : fields->if_contains("code");
    return code != nullptr && code->is_int64() && code->get_int64() == kStatusGone;
}

} // namespace

std::string encodeObject(const ObjectKey &key, const std::string &data,
                         const ResourceVersion &version, std::string_view nameSpace)
{
    json::object metadata{{"name", key.name}, {"namespace", nameSpace}};
    if (!version.empty()) {
        metadata["resourceVersion"] = version;
    }
    return json::serialize(json::object{{"apiVersion", "basilhall.dev/v1"},
                                        {"kind", kindFromPlural(key.kind)},
                                        {"metadata", std::move(metadata)},
                                        {"data", encodeBase64(data)}});
}

std::string encodeRemoval(const ResourceVersion &expected)
{
    return json::serialize(
        json::object{{"apiVersion", "v1"},
                     {"kind", "DeleteOptions"},
                     {"preconditions", json::object{{"resourceVersion", expected}}}});
}

Result<Object> decodeObject(const ObjectKey &key, std::string_view text)
{
    BOOST_OUTCOME_TRY(json::object fields, parseFields(key.kind, key.name, text));
    Result<Object> object = objectFrom(key.kind, fields);
    if (object && object.value().key != key) {
        return corrupt(key.kind, key.name, "its name is \"" + object.value().key.name + "\"");
    }
    return object;
}

Result<KubePage> decodePage(const std::string &kind, std::string_view text)
{
    BOOST_OUTCOME_TRY(json::object fields, parseFields(kind, "", text));
    const json::value *items = fields.if_contains("items");
    if (items == nullptr || !items->is_array()) {
        return corrupt(kind, "", "the list has no items");
    }
    KubePage page;
    for (const json::value &item : items->get_array()) {
        BOOST_OUTCOME_TRY(Object object, objectFrom(kind, item));
        page.objects.push_back(std::move(object));
    }
    const json::value *metadata = fields.if_contains("metadata");
    if (metadata != nullptr && metadata->is_object()) {
        const json::string *next = stringField(metadata->get_object(), "continue");
        page.continuation = next == nullptr ? std::string() : std::string(*next);
    }
    return page;
}

Result<WatchEvent> decodeEvent(const std::string &kind, std::string_view line)
{
    BOOST_OUTCOME_TRY(json::object fields, parseFields(kind, "", line));
    const json::string *type = stringField(fields, "type");
    const json::value *value = fields.if_contains("object");
    if (type == nullptr || value == nullptr) {
        return corrupt(kind, "", "the watch event has no type or object");
    }
    if (*type == "ERROR") {
        const bool gone = isGone(*value);
        return Error(gone ? ErrorKind::StoreConflict : ErrorKind::StoreUnavailable,
                     "the watch of \"" + kind + "\" ended with an error event");
    }
    BOOST_OUTCOME_TRY(Object object, objectFrom(kind, *value));
    WatchEvent event{WatchEvent::Type::Modified, std::move(object)};
    if (*type == "ADDED") {
        event.type = WatchEvent::Type::Added;
    } else if (*type == "DELETED") {
        event.type = WatchEvent::Type::Removed;
    } else if (*type != "MODIFIED") {
        return corrupt(kind, event.object.key.name,
                       "the watch event has type \"" + std::string(*type) + "\"");
    }
    return event;
}

} // namespace basilhall::store
