#include "basilhall/manifest/reference_page.h"

#include "basilhall/manifest/key_spec.h"

namespace basilhall::manifest
{

namespace
{

constexpr std::string_view kIntroduction =
    R"(# Manifest

Made by `basilhall docs manifest` from the table in `basilhall/manifest/key_table.cpp`.

The manifest declares teams, models, routes and endpoints in TOML. A build pipeline writes it,
`basilhall check FILE` lists every fault with file, line, column and field, and `basilhall publish`
puts it in force. Names have 1 to 63 letters, digits, `-`, `_` and `.`; names of models also `/`
and `:`. Models and routes share one name space. An array has at most 1,000 items.

    shard_count = 12

    [teams.haulers]
    requests_per_second = 50
    burst = 100
    program_budget_tokens = 200000
    key_digests = ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]

    [models.feed-mind]
    max_context_tokens = 100000
    max_completion_tokens = 2000

    [routes.dispatch]
    idempotent = false
    timeout = "10 s"

    [endpoints.engine-1]
    kind = "engine"
    host = "host-1"
    failure_domain = "warri"
    agent = "127.0.0.1:7001"
    address = "127.0.0.1:9001"
    serves = ["feed-mind"]
    capacity = 16

    [endpoints.desk-1]
    kind = "service"
    host = "host-2"
    failure_domain = "yenagoa"
    agent = "127.0.0.1:7002"
    address = "127.0.0.1:9002"
    serves = ["dispatch"]
    capacity = 4

A key's digest is made by `printf %s "$KEY" | sha256sum`. Besides the ranges below, these are
faults: an unknown key, a digest in two teams, a name that does not exist, an address of two
endpoints, a route with the name of a model, and a `shard_count` other than the one in force.

## What is published

The object API holds `manifests/root` and one object for each chunk, named by digest and
generation. A chunk holds about 96 lines in a canonical form, one JSON document a line; a change of
one team writes one chunk and the root, and each process reads these two. The root keeps the last
16 publications with who, when and what. Publishing is conditional on the generation that it was
made from: of two racing operators one gets a conflict that tells what was published in between.
)";

constexpr std::string_view kHead =
    "\n| Key | Type | Range | Default | Meaning |\n|---|---|---|---|---|\n";

std::string section(const std::string &title, std::string_view table)
{
    std::string text = "\n## " + title + "\n" + std::string(kHead);
    for (const KeySpec &spec : keyTable()) {
        if (spec.table == table) {
            text += "| `" + std::string(spec.key) + "` | " + std::string(spec.type) + " | "
                + std::string(spec.range) + " | " + std::string(spec.fallback) + " | "
                + std::string(spec.meaning) + " |\n";
        }
    }
    return text;
}

} // namespace

std::string referencePage()
{
    return std::string(kIntroduction) + section("Top of the file", "")
        + section("`[teams.NAME]`", "teams") + section("`[models.NAME]`", "models")
        + section("`[routes.NAME]`", "routes") + section("`[endpoints.NAME]`", "endpoints");
}

} // namespace basilhall::manifest
