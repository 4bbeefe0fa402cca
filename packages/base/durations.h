// Conversions between durations and numbers, for rates, averages and messages.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace kumquat {

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Rounds towards zero.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace kumquat
