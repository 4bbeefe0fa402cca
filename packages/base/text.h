// Small text helpers. Debian's Abseil has a string_view of its own, so conversions are explicit.
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
