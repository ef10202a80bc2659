#include "basilhall/manifest/key_spec.h"

#include <array>

namespace basilhall::manifest
{

namespace
{

constexpr std::array kTable{
    KeySpec{"", "shard_count", "integer", "1 to 65536", "required",
            "Number of shards to which programs and teams hash. Can never change; some three for "
            "each entry host of the largest size expected."},
    KeySpec{"teams", "weight", "integer", "1 to 10000", "1",
            "Share of tokens relative to the other teams."},
    KeySpec{"teams", "requests_per_second", "number", "0.001 to 1000000", "required",
            "Rate over all hosts together."},
    KeySpec{"teams", "burst", "integer", "1 to 1000000", "required",
            "Largest number of requests at one moment, over all hosts together."},
    KeySpec{"teams", "program_budget_tokens", "integer", "1 to 1000000000000", "required",
            "Tokens that one program may spend, sub-agents included."},
    KeySpec{"teams", "key_digests", "array of strings", "64 lower-case hexadecimal digits each",
            "none",
            "SHA-256 of each key. A digest that is taken out withdraws its key within seconds."},
    KeySpec{"teams", "priority", "string", "`urgent`, `normal`, `batch`", "`normal`",
            "Class of the team's calls."},
    KeySpec{"teams", "routes", "array of strings", "names of routes", "all",
            "Routes that the team may use."},
    KeySpec{"teams", "models", "array of strings", "names of models", "all",
            "Models that the team may use."},
    KeySpec{"models", "max_context_tokens", "integer", "1 to 1000000000000", "required",
            "Tokens of prompt and completion together."},
    KeySpec{"models", "max_completion_tokens", "integer", "1 to `max_context_tokens`", "required",
            "Tokens of one completion; a call that asks for none gets this many."},
    KeySpec{"routes", "idempotent", "boolean", "", "`false`",
            "True if a call may be repeated after an unknown outcome."},
    KeySpec{"routes", "open_to_all", "boolean", "", "`false`", "True if a call needs no key."},
    KeySpec{"routes", "accepts_idempotency_keys", "boolean", "", "`false`",
            "True if the service recognises a repeated call by its Idempotency-Key."},
    KeySpec{"routes", "timeout", "duration", "1 ms to 24 h", "`\"30 s\"`",
            "Time that a call may take at the service."},
    KeySpec{"routes", "priority", "string", "`urgent`, `normal`, `batch`", "`normal`",
            "Class of the calls of the route."},
    KeySpec{"endpoints", "kind", "string", "`engine`, `service`", "required",
            "An engine serves models, a service serves routes."},
    KeySpec{"endpoints", "host", "string", "1 to 63 letters, digits, `-`, `_` and `.`", "required",
            "Host of the endpoint."},
    KeySpec{"endpoints", "failure_domain", "string", "1 to 63 letters, digits, `-`, `_` and `.`",
            "required", "Failure domain of the host."},
    KeySpec{"endpoints", "agent", "address", "port not 0", "required",
            "`peer_listen` of the agent beside the endpoint."},
    KeySpec{"endpoints", "address", "address", "port not 0", "required",
            "Where the endpoint itself listens."},
    KeySpec{"endpoints", "serves", "array of strings", "names of models or routes", "required",
            "What the endpoint serves."},
    KeySpec{"endpoints", "capacity", "integer", "1 to 100000", "required",
            "Calls that the endpoint runs at once."},
    KeySpec{"endpoints", "honours_fencing", "boolean", "", "`false`",
            "True if the endpoint refuses an order with an old fencing number."},
    KeySpec{"endpoints", "leaving", "boolean", "", "`false`",
            "True if the endpoint gets no new work."},
};

} // namespace

std::span<const KeySpec> keyTable()
{
    return kTable;
}

} // namespace basilhall::manifest
