// Reading of whole files.
#pragma once

#include "base/errors.h"

#include <absl/status/statusor.h>

#include <string>

namespace kumquat {

// Returns the content of a file. Error: `kind`, with the message "PATH: cannot be read: reason".
absl::StatusOr<std::string> readFile(const std::string &path, ErrorKind kind);

} // namespace kumquat
