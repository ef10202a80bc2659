// Encodes and decodes the JSON documents of the Kubernetes-style object API.
//
//     const std::string body = encodeObject(key, data, {}, "basilhall");
//     Result<Object> object = decodeObject(key, response.body);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/store/object.h"
#include "basilhall/store/watch_event.h"

#include <boost/json/fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::store
{

// One page of a list.
struct KubePage {
    std::vector<Object> objects;
    // Opaque token for reading the next page; empty on the last page.
    std::string continuation;
};

// Returns the document to send; `version` is empty for a new object.
std::string encodeObject(const ObjectKey &key, const std::string &data,
                         const ResourceVersion &version, std::string_view nameSpace);

// Returns the options of a DELETE that takes effect only while the object has this version.
std::string encodeRemoval(const ResourceVersion &expected);

// Returns Corrupt with the name of the object if `text` is not an object with this key.
Result<Object> decodeObject(const ObjectKey &key, std::string_view text);

// Returns Corrupt with the name of the first object of the page that is not valid.
Result<KubePage> decodePage(const std::string &kind, std::string_view text);

// Decodes one line of a watch. Returns StoreConflict if the line reports that the version is too
// old, Corrupt if it contains no valid object.
Result<WatchEvent> decodeEvent(const std::string &kind, std::string_view line);

} // namespace basilhall::store
