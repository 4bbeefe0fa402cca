// Sections: measuring, output.
#include "path_bench/idle.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <thread>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr int regions = 2;
constexpr int dataCentres = 6;
constexpr int endpointSlots = 10;
// The first session of a service owns all slots and passes them on in steps, which takes two to
// three minutes. After 12 moves in a minute, the limit, it pauses for up to 27 s. With a shorter
// quiet time, this pause would be mistaken for the end of the moves.
constexpr Duration quietTime = 30s;
constexpr Duration quietTimeout = 300s;
constexpr double coreShareLimit = 0.013;
constexpr double residentBytesLimit = 256e6;
constexpr double controlBytesLimit = 4'000; // mesh and log, sent and received
constexpr Duration rulesLimit = 4s;         // until published rules are in force in all processes
// Estimated header bytes per message: the ZeroMQ frame header, and the IPv4 and TCP headers of the
// segment and of its acknowledgement.
constexpr double framingBytes = 2 + 2 * 52;

// --- measuring

struct NodeCounters
{
    Duration processorTime{};
    double sentMessages = 0;
    double receivedMessages = 0;
    double sentBytes = 0;
    double receivedBytes = 0;
};

void readMesh(const BenchNode &node, NodeCounters &counters)
{
    const std::string text = readMetrics(node.admin);
    counters.sentMessages = findMetric(text, "kumquat_mesh_sent_messages_total");
    counters.receivedMessages = findMetric(text, "kumquat_mesh_received_messages_total");
    counters.sentBytes = findMetric(text, "kumquat_mesh_sent_bytes_total");
    counters.receivedBytes = findMetric(text, "kumquat_mesh_received_bytes_total");
}

// All counters at one moment. Processor times are read last before the measurement and first after
// it, so that reading the other counters is not part of the measured time.
struct Snapshot
{
    Time time{};
    std::vector<NodeCounters> nodes;
    SocketCounters mesh;
    SocketCounters logSockets;
    LogCounters log;
};

void readProcessorTimes(const BenchCluster &cluster, Snapshot &snapshot)
{
    snapshot.time = readBootTime();
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
        snapshot.nodes[index].processorTime = readProcessorTime(cluster.nodes[index].process->id());
    }
}

void readTraffic(const BenchCluster &cluster, Snapshot &snapshot)
{
    const std::string sockets = listSockets();
    snapshot.mesh = sumSockets(sockets, cluster.processIds(), cluster.meshPorts());
    snapshot.logSockets = sumSockets(sockets, cluster.processIds(), {cluster.log.port});
    snapshot.log = cluster.readLog();
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
        readMesh(cluster.nodes[index], snapshot.nodes[index]);
    }
}

void addNode(IdleRow &row, const NodeCounters &before, const NodeCounters &after)
{
    const double seconds = std::chrono::duration<double>(row.elapsed).count();
    const double count = row.processes;
    const double share =
            std::chrono::duration<double>(after.processorTime - before.processorTime).count()
            / seconds;
    row.coreShare += share / count;
    row.maxCoreShare = std::max(row.maxCoreShare, share);
    row.sentMessages += (after.sentMessages - before.sentMessages) / seconds / count;
    row.receivedMessages += (after.receivedMessages - before.receivedMessages) / seconds / count;
    row.sentBytes += (after.sentBytes - before.sentBytes) / seconds / count;
    row.receivedBytes += (after.receivedBytes - before.receivedBytes) / seconds / count;
}

void addMemory(IdleRow &row, const BenchCluster &cluster)
{
    for (const BenchNode &node : cluster.nodes) {
        const auto bytes = static_cast<double>(readResidentBytes(node.process->id()));
        row.residentBytes += bytes / row.processes;
        row.maxResidentBytes = std::max(row.maxResidentBytes, bytes);
    }
}

IdleRow makeRow(const BenchCluster &cluster, const Snapshot &before, const Snapshot &after)
{
    IdleRow row;
    row.processes = static_cast<int>(cluster.nodes.size());
    row.elapsed = after.time - before.time;
    for (std::size_t index = 0; index < before.nodes.size(); ++index) {
        addNode(row, before.nodes[index], after.nodes[index]);
    }
    addMemory(row, cluster);
    const double seconds = std::chrono::duration<double>(row.elapsed).count();
    const double nodeSeconds = seconds * row.processes;
    row.framedBytes = row.sentBytes + row.receivedBytes
                      + framingBytes * (row.sentMessages + row.receivedMessages);
    row.kernelMeshBytes = static_cast<double>((after.mesh - before.mesh).wireBytes()) / nodeSeconds;
    row.kernelLogBytes =
            static_cast<double>((after.logSockets - before.logSockets).wireBytes()) / nodeSeconds;
    row.logReads = static_cast<double>(after.log.reads - before.log.reads) / seconds;
    row.logAppends = static_cast<double>(after.log.appends - before.log.appends);
    return row;
}

std::vector<std::string> makeServices(const IdleOptions &options)
{
    std::vector<std::string> services;
    for (int first = 0; first < options.processes; first += options.endpoints) {
        services.push_back(absl::StrCat("bench-", services.size()));
    }
    return services;
}

} // namespace

absl::StatusOr<IdleRow> measureIdle(const IdleOptions &options)
{
    BenchCluster cluster({.directory = options.directory,
                          .services = makeServices(options),
                          .nodes = options.processes,
                          .regions = regions,
                          .dataCentres = dataCentres,
                          .upstreamSlots = endpointSlots,
                          .programPath = options.programPath});
    if (absl::Status status = cluster.start(); !status.ok()) {
        return status;
    }
    const Time deadline = readBootTime() + quietTimeout;
    const bool allOwnSlots = cluster.waitUntilAllOwnSlots(quietTimeout);
    const bool isQuiet =
            allOwnSlots && cluster.waitUntilQuiet(quietTime, deadline - readBootTime());
    IdleRow memoryRow;
    memoryRow.processes = options.processes;
    addMemory(memoryRow, cluster);
    if (memoryRow.residentBytes * options.processes > static_cast<double>(readHostMemory()) / 2) {
        return absl::ResourceExhaustedError("the processes use more than half of the memory");
    }
    Snapshot before;
    Snapshot after;
    before.nodes.resize(cluster.nodes.size());
    after.nodes.resize(cluster.nodes.size());
    const std::string loadAverage = describeLoadAverage();
    readTraffic(cluster, before);
    readProcessorTimes(cluster, before);
    std::this_thread::sleep_for(options.duration);
    readProcessorTimes(cluster, after);
    readTraffic(cluster, after);
    IdleRow row = makeRow(cluster, before, after);
    row.isQuiet = isQuiet;
    const absl::StatusOr<Duration> rules = cluster.publishRules();
    if (!rules.ok()) {
        return rules.status();
    }
    row.rulesTime = *rules;
    row.loadAverage = loadAverage + " to " + describeLoadAverage();
    return row;
}

// --- output

namespace {

// Returns the change of a value per added process between the first and the last row.
double slopeOf(const std::vector<IdleRow> &rows, double IdleRow::*member)
{
    const IdleRow &first = rows.front();
    const IdleRow &last = rows.back();
    return first.processes == last.processes
                   ? 0
                   : (last.*member - first.*member) / (last.processes - first.processes);
}

double controlBytes(const IdleRow &row)
{
    return row.kernelMeshBytes + row.kernelLogBytes;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string describeMisses(const std::vector<IdleRow> &rows)
{
    std::string text;
    for (const IdleRow &row : rows) {
        if (row.coreShare > coreShareLimit) {
            absl::StrAppendFormat(&text, "missed: %d processes: %.2f %% of a core\n", row.processes,
                                  100 * row.coreShare);
        }
        if (row.maxResidentBytes > residentBytesLimit) {
            absl::StrAppendFormat(&text, "missed: %d processes: %.0f MB\n", row.processes,
                                  row.maxResidentBytes / 1e6);
        }
        if (controlBytes(row) > controlBytesLimit) {
            absl::StrAppendFormat(&text, "missed: %d processes: %.0f B/s\n", row.processes,
                                  controlBytes(row));
        }
        if (row.rulesTime > rulesLimit) {
            absl::StrAppendFormat(&text, "missed: %d processes: rules in force after %.1f s\n",
                                  row.processes, toSeconds(row.rulesTime));
        }
    }
    return text.empty() ? "all limits met\n" : text;
}

} // namespace

std::string formatTable(const std::vector<IdleRow> &rows)
{
    std::string text = "Idle, per process; limits: 1.3 % of a core, 256 MB, 4,000 B/s; rules in "
                       "force everywhere within 4 s\n";
    absl::StrAppendFormat(
            &text, "%5s %5s %6s %7s %7s %7s %7s %7s %8s %8s %8s %8s %7s %9s %7s  %s\n", "procs",
            "s", "quiet", "core %", "max %", "MB", "max MB", "msgs/s", "paylB/s", "estB/s",
            "meshB/s", "logB/s", "reads/s", "appends", "rules s", "load average");
    for (const IdleRow &row : rows) {
        absl::StrAppendFormat(
                &text,
                "%5d %5.0f %6s %7.2f %7.2f %7.1f %7.1f %7.1f %8.0f %8.0f %8.0f %8.0f %7.1f %9.0f"
                " %7.2f  %s\n",
                row.processes, std::chrono::duration<double>(row.elapsed).count(),
                row.isQuiet ? "yes" : "no", 100 * row.coreShare, 100 * row.maxCoreShare,
                row.residentBytes / 1e6, row.maxResidentBytes / 1e6,
                row.sentMessages + row.receivedMessages, row.sentBytes + row.receivedBytes,
                row.framedBytes, row.kernelMeshBytes, row.kernelLogBytes, row.logReads,
                row.logAppends, toSeconds(row.rulesTime), row.loadAverage);
    }
    if (rows.size() > 1) {
        absl::StrAppendFormat(&text,
                              "slope per added process: %+.5f %% of a core, %+.4f MB, %+.2f B/s "
                              "mesh, %+.2f B/s log\n",
                              100 * slopeOf(rows, &IdleRow::coreShare),
                              slopeOf(rows, &IdleRow::residentBytes) / 1e6,
                              slopeOf(rows, &IdleRow::kernelMeshBytes),
                              slopeOf(rows, &IdleRow::kernelLogBytes));
    }
    return text + describeMisses(rows);
}

std::string formatJson(const std::vector<IdleRow> &rows)
{
    Json list = Json::array();
    for (const IdleRow &row : rows) {
        list.push_back({{"processes", row.processes},
                        {"seconds", std::chrono::duration<double>(row.elapsed).count()},
                        {"quiet", row.isQuiet},
                        {"coreShare", row.coreShare},
                        {"maxCoreShare", row.maxCoreShare},
                        {"residentBytes", row.residentBytes},
                        {"maxResidentBytes", row.maxResidentBytes},
                        {"sentMessagesPerSecond", row.sentMessages},
                        {"receivedMessagesPerSecond", row.receivedMessages},
                        {"sentBytesPerSecond", row.sentBytes},
                        {"receivedBytesPerSecond", row.receivedBytes},
                        {"framedBytesPerSecond", row.framedBytes},
                        {"kernelMeshBytesPerSecond", row.kernelMeshBytes},
                        {"kernelLogBytesPerSecond", row.kernelLogBytes},
                        {"logReadsPerSecond", row.logReads},
                        {"logAppends", row.logAppends},
                        {"rulesInForceSeconds", toSeconds(row.rulesTime)},
                        {"loadAverage", row.loadAverage}});
    }
    return list.dump(2) + "\n";
}

} // namespace kumquat
