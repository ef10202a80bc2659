// A TOML document that reports every fault with its position.
//
//     Document document("manifest.toml", text);
//     Table root = document.root();
//     const auto shards = root.unsignedInteger("shard_count", 1, 4096);
//     root.reportUnknownKeys();
//     for (const Fault &fault : document.faults()) { ... }
#pragma once

#include "basilhall/config/fault.h"
#include "basilhall/config/table.h"

#include <memory>
#include <string>
#include <string_view>

namespace basilhall::config
{

// Not thread-safe. Must outlive the tables that it returns.
class Document
{
public:
    // A syntax error leaves the document empty.
    Document(std::string file, std::string_view text);
    ~Document();
    Document(const Document &) = delete;
    Document &operator=(const Document &) = delete;

    // Returns false if the text has a syntax error.
    bool isReadable() const;
    Table root();
    // Returns the faults found so far, ordered by position.
    Faults faults() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::config
