// The canonical form of a manifest: one JSON document per line, one line per declared object.
//
// JSON is used instead of TOML because each line can be parsed independently: chunks can be split
// between lines and read one by one in bounded memory, and a chunk whose lines did not change keeps
// its digest.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/manifest/content.h"

#include <functional>
#include <string>
#include <string_view>

namespace basilhall::manifest
{

// One line without its newline, and the key that determines chunk boundaries.
struct Line {
    // Such as `team/haulers`; unique within a manifest.
    std::string key;
    std::string text;
};

// Calls `take` for each line of `content` in canonical order, with one line in memory at a time.
// The same content gives the same lines.
void forEachLine(const Content &content, const std::function<void(const Line &)> &take);

// Adds the object declared by `line` to `content`. Corrupt names the fault; an object that
// `content` already contains is a fault too.
Result<void> decodeLine(std::string_view line, Content &content);

} // namespace basilhall::manifest
