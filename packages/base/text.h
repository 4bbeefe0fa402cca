// Conversions between std::string_view and absl::string_view, which are different types in Debian's
// build of Abseil.
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

} // namespace kumquat
