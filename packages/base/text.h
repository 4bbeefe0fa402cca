// Text: conversions between std::string_view and absl::string_view, which are different types in
// Debian's build of Abseil, and a check of its encoding.
#pragma once

#include <absl/strings/string_view.h>

#include <string>
#include <string_view>

namespace kumquat {

inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view toStd(absl::string_view text)
{
    return {text.data(), text.size()};
}

// Returns whether the bytes are well-formed UTF-8 (RFC 3629). JSON can carry only such text.
bool isUtf8(std::string_view bytes);

} // namespace kumquat
