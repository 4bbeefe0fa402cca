// The receive buffer that the kernel has for a caller's connection. What the caller sends fills it
// while the process does not read, so it is small, charged with the connection, and grows only
// while a body is received.
//
//   ReceiveBuffer buffer(stream, charge, budget, limits.receiveBufferBytes);
//   buffer.grow(parser.knownBodyBytes(), parser.isAnnounced());
//   buffer.reset(); // after the message
#pragma once

#include "net/byte_budget.h"

#include <cstdint>

namespace kumquat {

class HttpStream;

// Returns how many bytes can lie unread in a connection with this receive buffer: the kernel
// doubles the size that it is told, and bytes may use most of that.
constexpr std::uint64_t maxUnreadBytes(std::uint64_t receiveBufferBytes)
{
    return 2 * receiveBufferBytes;
}

// Not thread-safe.
class ReceiveBuffer
{
public:
    // `connectionCharge`: also charged while the buffer is large. `usualBytes`: 0 for the default
    // of the system, which never changes.
    ReceiveBuffer(HttpStream &connectionStream, ByteCharge &connectionCharge,
                  const ByteBudget *byteBudget, std::uint32_t usualBytes)
        : stream(connectionStream)
        , charge(connectionCharge)
        , budget(byteBudget)
        , usual(usualBytes)
    {}

    // Makes room for a body beyond the usual size, so that a fast link can be used. A body with an
    // announced length is charged as a whole, including what still lies in the kernel. For others
    // the buffer is charged, and only while most of the budget is free.
    void grow(std::uint64_t bodyBytes, bool isAnnounced);

    // Returns to the usual size.
    void reset();

private:
    static constexpr std::uint32_t largeBytes = 128 * 1024;

    HttpStream &stream;
    ByteCharge &charge;
    const ByteBudget *budget;
    std::uint32_t usual;
    bool isLarge = false;
    std::uint64_t charged = 0; // part of `charge`
};

} // namespace kumquat
