#include "basilhall/config/fault.h"

namespace basilhall::config
{

std::string toString(const Fault &fault)
{
    std::string text = fault.file;
    if (fault.line != 0) {
        text += ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column);
    }
    if (!fault.field.empty()) {
        text += ": " + fault.field;
    }
    return text + ": " + fault.message;
}

} // namespace basilhall::config
