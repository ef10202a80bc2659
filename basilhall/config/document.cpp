#include "basilhall/config/document.h"

#include "basilhall/config/internal/table_private.h"

#include <algorithm>

namespace basilhall::config
{

class Document::Private
{
public:
    std::string file;
    toml::table table;
    bool isReadable = false;
    Faults faults;
};

Document::Document(std::string file, std::string_view text)
    : d(std::make_unique<Private>())
{
    d->file = std::move(file);
    toml::parse_result parsed = toml::parse(text);
    if (parsed) {
        d->table = std::move(parsed).table();
        d->isReadable = true;
        return;
    }
    const toml::source_position &position = parsed.error().source().begin;
    d->faults.push_back(Fault{d->file, position.line, position.column, "",
                              std::string(parsed.error().description())});
}

Document::~Document() = default;

bool Document::isReadable() const
{
    return d->isReadable;
}

Table Document::root()
{
    return Table(std::make_unique<internal::TablePrivate>("", "", d->table, d->file, d->faults));
}

Faults Document::faults() const
{
    Faults sorted = d->faults;
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

} // namespace basilhall::config
