// What processes cost: processor time, memory and bytes on their sockets.
#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Returns user and system time of a process so far; steps of 10 ms. `text` is /proc/PID/stat.
Duration parseProcessorTime(const std::string &text);
Duration readProcessorTime(int processId);

// Times of the whole machine so far, summed over its cores; steps of 10 ms.
struct MachineTimes
{
    Duration idle{};
    Duration stolen{}; // the hypervisor kept a core from running although it had work
};

// Returns the times from the text of /proc/stat.
MachineTimes parseMachineTimes(const std::string &text);
MachineTimes readMachineTimes();

// Returns the resident memory of a process in bytes.
std::uint64_t readResidentBytes(int processId);

// Returns the memory of the host in bytes.
std::uint64_t readHostMemory();

// Returns the load averages over 1, 5 and 15 minutes.
std::array<double, 3> readLoadAverage();

// Returns the load averages as "1.00 2.00 3.00".
std::string describeLoadAverage();

// --- sockets

// Sums over sockets, as the kernel counts them.
struct SocketCounters
{
    std::uint64_t sentBytes = 0; // without retransmissions
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentSegments = 0; // with pure acknowledgements
    std::uint64_t receivedSegments = 0;
    int sockets = 0;

    // Returns the bytes both ways with the headers of IPv4 and TCP.
    std::uint64_t wireBytes() const;
};

SocketCounters operator-(const SocketCounters &now, const SocketCounters &before);

// Sums the sockets of the processes that are connected from or to one of the ports. `text` is the
// output of `ss -tinHOp`.
SocketCounters sumSockets(const std::string &text, const std::set<int> &processIds,
                          const std::set<int> &ports);

// Runs `ss -tinHOp`; empty if it is not installed.
std::string listSockets();

} // namespace kumquat
