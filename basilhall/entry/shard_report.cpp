#include "basilhall/entry/shard_report.h"

namespace basilhall::entry
{

std::string_view toString(ShardEvent event)
{
    switch (event) {
    case ShardEvent::Claimed:
        return "claimed";
    case ShardEvent::Served:
        return "served";
    case ShardEvent::Lost:
        return "lost";
    case ShardEvent::HandedOver:
        return "handed_over";
    case ShardEvent::Faulty:
        return "faulty";
    }
    return "unknown";
}

} // namespace basilhall::entry
