// Reads the processor time, the memory and the socket traffic of processes from the kernel.
#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// Returns the user and system time that a process has used so far, in steps of 10 ms. `text` is the
// text of /proc/PID/stat.
Duration parseProcessorTime(const std::string &text);
Duration readProcessorTime(int processId);

// Times of the whole machine since its start, summed over its cores, in steps of 10 ms.
struct MachineTimes
{
    Duration idle{};
    Duration stolen{}; // the hypervisor did not run a core that had work
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

// Sums of the kernel's counters over several sockets.
struct SocketCounters
{
    std::uint64_t sentBytes = 0; // without retransmissions
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentSegments = 0; // including pure acknowledgements
    std::uint64_t receivedSegments = 0;
    int sockets = 0;

    // Returns the bytes in both directions, including IPv4 and TCP headers.
    std::uint64_t wireBytes() const;
};

SocketCounters operator-(const SocketCounters &now, const SocketCounters &before);

// Sums the counters of the sockets that belong to the processes and have one of the ports as their
// local or remote port. `text` is the output of `ss -tinHOp`.
SocketCounters sumSockets(const std::string &text, const std::set<int> &processIds,
                          const std::set<int> &ports);

// Returns the output of `ss -tinHOp`; empty if ss is not installed.
std::string listSockets();

} // namespace kumquat
