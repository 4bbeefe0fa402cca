// Measures the processor time, memory and control traffic of idle kumquatstage processes.
#pragma once

#include "base/time.h"
#include "path_bench/cluster.h"
#include "path_bench/cost.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

struct IdleOptions
{
    std::string directory;
    std::string programPath;
    int processes = 10;
    int endpoints = 10; // processes per service, as in the deployments
    Duration duration = 60s;
};

// Means per process unless stated otherwise. A `max` field is the highest value of any process.
struct IdleRow
{
    int processes = 0;
    Duration elapsed{};
    bool isQuiet = false; // all processes owned slots, and the log had no new record for 30 s
                          // before the measurement
    double coreShare = 0; // processor time over elapsed time
    double maxCoreShare = 0;
    double residentBytes = 0;
    double maxResidentBytes = 0;
    double sentMessages = 0; // per second, from GET /metrics
    double receivedMessages = 0;
    double sentBytes = 0; // payload per second
    double receivedBytes = 0;
    double framedBytes = 0; // mesh bytes sent and received per second, estimated with all headers
    double kernelMeshBytes = 0; // sent and received per second with headers, counted by the kernel
    double kernelLogBytes = 0;
    double logReads = 0;   // of all processes per second
    double logAppends = 0; // of all processes in the elapsed time
    Duration rulesTime{};  // time until published rules were in force in all processes
    std::string loadAverage;
};

// Starts the processes, each with a session, and measures them without requests. Error: the cluster
// did not start, it needs more than half of the memory of the host, or publishing the rules failed.
absl::StatusOr<IdleRow> measureIdle(const IdleOptions &options);

std::string formatTable(const std::vector<IdleRow> &rows);
std::string formatJson(const std::vector<IdleRow> &rows);

} // namespace kumquat
