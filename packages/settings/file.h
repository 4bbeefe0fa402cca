// Reading of whole files.
#pragma once

#include "base/errors.h"

#include <absl/status/statusor.h>

#include <string>

namespace kumquat {

// Returns the bytes of a file. Error: the given kind with "PATH: cannot be read: reason".
absl::StatusOr<std::string> readFile(const std::string &path, ErrorKind kind);

} // namespace kumquat
