#include "basilhall/command/internal/files.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace basilhall::command::internal
{

Result<std::string> readFile(const std::string &path)
{
    std::error_code failure;
    const std::uintmax_t size = std::filesystem::file_size(path, failure);
    if (failure) {
        return Error(ErrorKind::NotFound,
                     "file \"" + path + "\" cannot be read: " + failure.message());
    }
    if (size > kMaxFileBytes) {
        return Error(ErrorKind::InvalidRequest,
                     "file \"" + path + "\" is larger than " + std::to_string(kMaxFileBytes)
                         + " bytes");
    }
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        return Error(ErrorKind::NotFound, "file \"" + path + "\" cannot be read");
    }
    return text.str();
}

} // namespace basilhall::command::internal
