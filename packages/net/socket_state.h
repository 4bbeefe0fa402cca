// What the kernel tells of a TCP connection beyond its bytes.
#pragma once

#include "base/time.h"

#include <cstddef>

namespace kumquat {

// Returns how long ago the last bytes of the peer arrived, in steps of a few milliseconds. Zero if
// the system does not tell.
Duration timeSinceLastArrival(int socket);

// Returns the number of bytes that were written and that the peer has not acknowledged yet. Zero if
// the system does not tell.
std::size_t unacknowledgedBytes(int socket);

} // namespace kumquat
