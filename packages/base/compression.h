// Compression of texts with zlib. A text is always compressed and decompressed as a whole.
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

// Returns the text of a raw deflate stream. Error: BadRequest if the stream is invalid or its text
// does not have exactly `length` bytes.
absl::StatusOr<std::string> inflateText(std::string_view packed, std::size_t length);

} // namespace kumquat
