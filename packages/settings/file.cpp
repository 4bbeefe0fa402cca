#include "settings/file.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace kumquat {

absl::StatusOr<std::string> readFile(const std::string &path, ErrorKind kind)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, 65'536> buffer{};
    while (file.read(buffer.data(), buffer.size()) || file.gcount() > 0) {
        text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (!file.eof()) { // for example, the path is a directory
        const std::string reason = std::strerror(errno);
        return makeError(kind, toStd(absl::StrCat(path, ": cannot be read: ", reason)));
    }
    return text;
}

} // namespace kumquat
