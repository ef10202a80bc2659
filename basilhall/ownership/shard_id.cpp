#include "basilhall/ownership/shard_id.h"

#include "basilhall/ownership/internal/stable_hash.h"

namespace basilhall::ownership
{

namespace
{

constexpr std::uint64_t kTeamSalt = 0x7465616dU;

} // namespace

ShardId shardOf(const ProgramId &program, std::uint32_t shardCount)
{
    const std::string_view id = program.value();
    const std::string_view root = id.substr(0, id.find('.'));
    return static_cast<ShardId>(internal::stableHash(root) % shardCount);
}

ShardId shardOf(const TeamName &team, std::uint32_t shardCount)
{
    const std::uint64_t hash = internal::stableHash(team.value());
    return static_cast<ShardId>(internal::mixBits(hash ^ kTeamSalt) % shardCount);
}

} // namespace basilhall::ownership
