// What the tests with hostile callers share: connections that send raw bytes, and the memory and
// the open descriptors of a process.
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "system/child.h"

#include <atomic>
#include <string_view>

namespace kumquat {

// Converts megabytes of 1,000,000 bytes to kilobytes of 1,024 bytes.
int kilobytesOf(int megabytes);

// Returns the peak resident memory of a process in kilobytes, -1 if it cannot be read.
int peakKilobytes(const Child &process);

// Returns the number of open descriptors of a process, 0 if it cannot be read.
int countDescriptors(const Child &process);

struct RawCallerOptions
{
    int receiveBytes = 0; // size of the receive buffer of the socket; 0: the default of the system
};

// Connection of a caller that sends raw bytes and reads nothing.
class RawCaller
{
public:
    // `isOver`: no more is sent once it is true. It must outlive the caller.
    RawCaller(const Address &address, const std::atomic<bool> &isOver,
              RawCallerOptions options = {});
    ~RawCaller();

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    // Sends the text. Stops at the end of the load and when the process closes the connection.
    void send(std::string_view text);

    bool canSend() const { return this->isOpen && !this->over; }

private:
    const std::atomic<bool> &over;
    int handle;
    bool isOpen = false;
};

} // namespace kumquat
