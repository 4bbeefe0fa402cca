// Compression of texts that are kept or sent as a whole, by zlib.
//
//   std::string packed = deflateText(text);
//   absl::StatusOr<std::string> text = inflateText(packed, length);
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquat {

// Returns the raw deflate stream of a text.
std::string deflateText(std::string_view text);

// Returns the text of a raw deflate stream. Error: BadRequest if it is no such stream or its text
// does not have exactly `length` bytes.
absl::StatusOr<std::string> inflateText(std::string_view packed, std::size_t length);

} // namespace kumquat
