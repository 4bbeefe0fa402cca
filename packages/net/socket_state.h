// What the kernel tells of a TCP connection beyond its bytes, and how many it keeps.
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

// Limits the received bytes that the kernel keeps until they are read.
void setReceiveBuffer(int socket, std::size_t bytes);

// The same for an open connection. The peer may use the larger buffer at once.
void growReceiveWindow(int socket, std::size_t bytes);

} // namespace kumquat
