// Time types and clocks. Code that makes decisions gets the time as an argument and reads no clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace kumquat {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;      // since the start of CLOCK_BOOTTIME of this host
using WallTime = std::chrono::milliseconds; // since the Unix epoch; for request ids only

using namespace std::chrono_literals;

// Reads CLOCK_BOOTTIME, which keeps counting while the host is suspended.
Time readBootTime();

// Reads the wall clock. Use it only to check the age of request ids.
WallTime readWallTime();

} // namespace kumquat
