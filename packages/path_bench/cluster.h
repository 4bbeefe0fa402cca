// Real processes on loopback ports: a log stand-in, one upstream and many kumquatstage processes,
// to which the upstream announces itself.
//
//   BenchCluster cluster({.directory = "build/path_bench", .nodes = makeNodes(4)});
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
    std::string directory;             // of settings and log files; emptied first
    std::vector<std::string> services; // of the nodes, in turn
    int nodes = 4;
    int regions = 1;
    int dataCentres = 3; // in all regions
    int upstreamSlots = 64;
    std::string selfPath; // this program, started again as the upstream
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

    // Publishes rules and returns after which time all processes have them in force, as kumquatctl
    // finds out by asking each of them. Error: not in force everywhere within its limit.
    absl::StatusOr<Duration> publishRules();

    // Waits until the log has had no new record for `quiet`. False after `longest`.
    bool waitUntilQuiet(Duration quiet, Duration longest);

    // Waits until each process owns slots. False after `longest`.
    bool waitUntilSpread(Duration longest) const;

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
    absl::Status waitForSessions(Duration longest);

    BenchClusterOptions options;
};

// Returns a metric without labels from GET /metrics, or 0.
double findMetric(const std::string &text, const std::string &name);

// Reads GET /metrics of an admin address; empty if it does not answer.
std::string readMetrics(const Address &admin);

} // namespace kumquat
