// A cluster of real processes on loopback ports: the log stand-in (log_standin), one upstream and
// several kumquatstage processes. The upstream announces itself to each kumquatstage process.
//
//   BenchCluster cluster({.directory = "build/path_bench", .services = {"bench"}, .nodes = 4});
//   if (absl::Status status = cluster.start(); !status.ok()) { ... }
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "system/child.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

struct BenchNode
{
    std::string name;
    std::string service;
    std::string region;
    std::string dataCentre;
    Address callers{};
    Address admin{};
    Address mesh{};
    std::unique_ptr<Child> process{};
};

struct BenchClusterOptions
{
    std::string directory;             // for settings and log files; emptied at the start
    std::vector<std::string> services; // assigned to the nodes in turn
    int nodes = 4;
    int regions = 1;
    int dataCentres = 3; // total of all regions
    int upstreamSlots = 64;
    std::string programPath; // the running program, which is also started as the upstream
};

// Counters of the log stand-in.
struct LogCounters
{
    std::uint64_t end = 0; // offset after the last record
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
};

class BenchCluster
{
public:
    explicit BenchCluster(BenchClusterOptions newOptions);

    // Starts all processes, waits until each has a session and publishes the rules.
    absl::Status start();

    // Publishes the rules with kumquatctl, which asks every process until the rules are in force
    // there. Returns the time until they are in force in all processes. Error: kumquatctl could not
    // be run, or the rules were not in force everywhere within its time limit.
    absl::StatusOr<Duration> publishRules();

    // Waits until the log has had no new record for `quiet`. Returns false if this does not happen
    // within `maxWait`.
    bool waitUntilQuiet(Duration quiet, Duration maxWait);

    // Waits until each process owns slots. Returns false if this does not happen within `maxWait`.
    bool waitUntilAllOwnSlots(Duration maxWait) const;

    LogCounters readLog() const;
    std::set<int> processIds() const; // of the kumquatstage processes
    std::set<int> meshPorts() const;

    std::vector<BenchNode> nodes;
    Address log{};
    Address upstream{};
    std::unique_ptr<Child> logProcess;
    std::unique_ptr<Child> upstreamProcess;

private:
    absl::Status startNode(BenchNode &node);
    absl::Status startUpstream();
    absl::Status waitForSessions(Duration maxWait);

    BenchClusterOptions options;
};

// Returns the value of a metric without labels in the text of GET /metrics; 0 if it is missing.
double findMetric(const std::string &text, const std::string &name);

// Reads GET /metrics of an admin address; empty if it does not answer.
std::string readMetrics(const Address &admin);

} // namespace kumquat
