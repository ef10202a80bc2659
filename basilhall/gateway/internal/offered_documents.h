// The documents that a gateway offers to its peers.
//
//     if (documents.offer(document, now)) { ... }
//     wire::DocumentReply reply = documents.reply(DocumentKind::Endpoints, self, now);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/gateway/document.h"
#include "basilhall/gateway/gateway.pb.h"

#include <map>

namespace basilhall::gateway
{

// Not thread-safe.
class OfferedDocuments
{
public:
    // False if a version that is not older is offered already.
    bool offer(Document document, Instant now);
    // The reply of the process `self` to a request for the document; without a version if none is
    // offered.
    wire::DocumentReply reply(DocumentKind kind, const Incarnation &self, Instant now) const;

private:
    struct Entry {
        Document document;
        Instant madeAt;
    };

    std::map<DocumentKind, Entry> m_entries;
};

} // namespace basilhall::gateway
