#include "basilhall/gateway/internal/offered_documents.h"

#include <utility>

namespace basilhall::gateway
{

bool OfferedDocuments::offer(Document document, Instant now)
{
    Entry &entry = m_entries[document.kind];
    if (document.version <= entry.document.version) {
        return false;
    }
    entry.madeAt = now - document.age;
    entry.document = std::move(document);
    return true;
}

wire::DocumentReply OfferedDocuments::reply(DocumentKind kind, const Incarnation &self,
                                            Instant now) const
{
    wire::DocumentReply reply;
    reply.set_incarnation(self.value());
    reply.set_kind(static_cast<std::uint32_t>(kind));
    const auto found = m_entries.find(kind);
    if (found != m_entries.end()) {
        const Entry &entry = found->second;
        reply.set_version(entry.document.version);
        reply.set_content(entry.document.content);
        reply.set_age_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.madeAt).count()));
    }
    return reply;
}

} // namespace basilhall::gateway
