#include "basilhall/manifest/priority.h"

namespace basilhall::manifest
{

std::string_view toString(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return "urgent";
    case Priority::Normal:
        return "normal";
    case Priority::Batch:
        return "batch";
    }
    return "normal";
}

std::optional<Priority> priorityFromName(std::string_view name)
{
    for (const Priority priority : {Priority::Urgent, Priority::Normal, Priority::Batch}) {
        if (toString(priority) == name) {
            return priority;
        }
    }
    return std::nullopt;
}

} // namespace basilhall::manifest
