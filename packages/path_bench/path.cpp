// Sections: measuring, output.
#include "path_bench/path.h"

#include "path_bench/cluster.h"
#include "path_bench/cost.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr std::array connectionCounts{16, 64};
constexpr int openConnections = 64;
constexpr int clusterNodes = 4;    // the owner, and three peers that keep its journal
constexpr Duration quietTime = 5s; // session peers settle 2 to 3 s after the joins
constexpr Duration quietTimeout = 40s;
constexpr Duration warmUp = 1s; // before each closed-loop measurement
// Threads start and connections open in the warm-up; for 64 connections this took up to 120 ms.
constexpr Duration openWarmUp = 200ms;
// Other load on the machine disturbs some rounds. Rounds are repeated until enough are valid.
constexpr int requiredRounds = 5;
constexpr int maxRounds = 10;
constexpr Duration targetAddedP99 = 1ms;
// Limits of a valid round. The delay caused by the caller may be a tenth of the target.
constexpr Duration maxCallerLag = targetAddedP99 / 10;
// Share of the elapsed time, summed over all cores, that the hypervisor may steal. A request uses
// up to five cores in turn. With 10 cores, 2 % stolen time in total therefore affects about 1 % of
// the answers, which is the part that the p99 ignores.
constexpr double maxStolenShare = 0.02;
// Without an idle core, the threads on the path wait for each other and for other programs. Ten
// spinning threads raised the p99 of direct requests at half load from 0.3, 0.6 and 1.2 ms to 1.8,
// 7 and 48 ms.
constexpr double minIdleCores = 1;
constexpr double targetPerCore = 0.4; // share of the answers per core of the direct path
constexpr double openLoopShare = 0.5; // open-loop rate as a share of the closed-loop throughput
constexpr double medianShare = 0.5;
constexpr double p99Share = 0.99;
constexpr double p999Share = 0.999;

// --- measuring

// Counters that are read before and after a measurement.
struct Costs
{
    Duration stage{};
    Duration upstream{};
    double meshMessages = 0;

    static Costs read(const BenchCluster &cluster)
    {
        Costs costs;
        for (const BenchNode &node : cluster.nodes) {
            costs.stage += readProcessorTime(node.process->id());
            costs.meshMessages +=
                    findMetric(readMetrics(node.admin), "kumquat_mesh_sent_messages_total");
        }
        costs.upstream = readProcessorTime(cluster.upstreamProcess->id());
        return costs;
    }
};

double toMicroseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

Address targetOf(const BenchCluster &cluster, PathType path)
{
    // Node 0 is the only one with the measured service, so it owns all keys of this service.
    switch (path) {
    case PathType::Direct:
        return cluster.upstream;
    case PathType::One:
        return cluster.nodes[0].callers;
    case PathType::Two:
        break;
    }
    return cluster.nodes[1].callers;
}

ClosedRow measureClosed(const BenchCluster &cluster, LoadPlan plan, PathType path)
{
    plan.target = targetOf(cluster, path);
    // The warm-up is a run of its own instead of plan.warmUp, because the costs are read between it
    // and the measurement.
    LoadPlan warmUpPlan = plan;
    warmUpPlan.duration = warmUp;
    runLoad(warmUpPlan);
    ClosedRow row{.path = path,
                  .type = plan.type,
                  .connections = plan.connections,
                  .load = {},
                  .loadAverage = describeLoadAverage()};
    const Costs before = Costs::read(cluster);
    row.load = runLoad(plan);
    const Costs after = Costs::read(cluster);
    const double answers = std::max<double>(1, static_cast<double>(row.load.latencies.size()));
    row.stageMicroseconds = toMicroseconds(after.stage - before.stage) / answers;
    row.upstreamMicroseconds = toMicroseconds(after.upstream - before.upstream) / answers;
    row.meshMessages = (after.meshMessages - before.meshMessages) / answers;
    return row;
}

OpenRow measureOpen(const BenchCluster &cluster, LoadPlan plan, PathType path)
{
    OpenRow row{.path = path,
                .type = plan.type,
                .rate = plan.rate,
                .rounds = {},
                .loadAverage = describeLoadAverage()};
    plan.connections = openConnections;
    plan.warmUp = openWarmUp;
    plan.duration /= requiredRounds;
    for (int index = 0; index < maxRounds && row.validRounds() < requiredRounds; ++index) {
        OpenRound &round = row.rounds.emplace_back();
        plan.target = cluster.upstream;
        round.direct = runLoad(plan);
        plan.target = targetOf(cluster, path);
        round.load = path == PathType::Direct ? round.direct : runLoad(plan);
    }
    return row;
}

void measureType(const BenchCluster &cluster, const LoadPlan &base, const PathOptions &options,
                 PathResult &result)
{
    const std::vector<PathType> &paths = options.paths;
    for (const int connections : connectionCounts) {
        for (const PathType path : paths) {
            LoadPlan plan = base;
            plan.connections = connections;
            result.closed.push_back(measureClosed(cluster, plan, path));
        }
    }
    const std::size_t first = result.closed.size() - paths.size();
    LoadPlan plan = base;
    for (std::size_t index = 0; index < paths.size(); ++index) {
        plan.rate = result.closed[first + index].load.throughput() * openLoopShare;
        if (plan.rate > 0) {
            result.open.push_back(measureOpen(cluster, plan, paths[index]));
        }
    }
    plan.rate = options.fixedRate;
    for (const PathType path : paths) {
        result.open.push_back(measureOpen(cluster, plan, path));
    }
}

// Returns the answers per core of the direct path with the same type and number of connections, or
// 0 if that was not measured.
double directPerCore(const PathResult &result, const ClosedRow &row)
{
    for (const ClosedRow &other : result.closed) {
        if (other.path == PathType::Direct && other.type == row.type
            && other.connections == row.connections) {
            return other.perCore();
        }
    }
    return 0;
}

double shareOfDirect(const PathResult &result, const ClosedRow &row)
{
    const double direct = directPerCore(result, row);
    return direct > 0 ? row.perCore() / direct : 0;
}

} // namespace

double ClosedRow::perCore() const
{
    const double spent = this->stageMicroseconds + this->upstreamMicroseconds;
    return spent > 0 ? 1e6 / spent : 0;
}

std::string OpenRound::describeDisturbance() const
{
    std::vector<std::string> reasons;
    const auto describe = [&reasons](const std::string &name, const LoadResult &part) {
        if (const Duration lag = part.lagQuantile(p99Share); lag > maxCallerLag) {
            reasons.push_back(
                    absl::StrFormat("%s: caller late by %.0f us", name, toMicroseconds(lag)));
        }
        if (part.stolen > maxStolenShare * part.elapsed) {
            reasons.push_back(absl::StrFormat("%s: %.0f ms stolen", name,
                                              toMicroseconds(part.stolen) / 1000));
        }
        if (part.idleCores < minIdleCores) {
            reasons.push_back(absl::StrFormat("%s: %.1f cores idle", name, part.idleCores));
        }
    };
    describe("direct", this->direct);
    describe("path", this->load);
    return absl::StrJoin(reasons, ", ");
}

int OpenRow::validRounds() const
{
    return static_cast<int>(
            std::count_if(this->rounds.begin(), this->rounds.end(), [](const OpenRound &round) {
                return round.describeDisturbance().empty();
            }));
}

const OpenRound &OpenRow::median() const
{
    assert(!this->rounds.empty() && "measure at least one round");
    const bool hasValid = this->validRounds() > 0;
    std::vector<const OpenRound *> sorted;
    for (const OpenRound &round : this->rounds) {
        if (!hasValid || round.describeDisturbance().empty()) {
            sorted.push_back(&round);
        }
    }
    std::sort(sorted.begin(), sorted.end(), [](const OpenRound *first, const OpenRound *second) {
        return std::pair(first->added(p99Share), first->load.quantile(p99Share))
               < std::pair(second->added(p99Share), second->load.quantile(p99Share));
    });
    return *sorted[sorted.size() / 2];
}

absl::StatusOr<PathResult> measurePath(const PathOptions &options)
{
    BenchCluster cluster({.directory = options.directory,
                          .services = {"bench", "other-1", "other-2", "other-3"},
                          .nodes = clusterNodes,
                          .programPath = options.programPath});
    if (absl::Status status = cluster.start(); !status.ok()) {
        return status;
    }
    if (!cluster.waitUntilQuiet(quietTime, quietTimeout)) {
        return absl::DeadlineExceededError("the peers of the sessions did not settle");
    }
    PathResult result;
    for (const RequestType type : options.types) {
        LoadPlan plan;
        plan.type = type;
        plan.duration = options.duration;
        measureType(cluster, plan, options, result);
    }
    return result;
}

// --- output

namespace {

std::string describeFailures(const LoadResult &load)
{
    std::string text;
    for (const auto &[reason, count] : load.failures) {
        absl::StrAppend(&text, text.empty() ? "" : ", ", count, " x ", reason);
    }
    return text.empty() ? "-" : text;
}

void appendClosed(std::string &text, const PathResult &result)
{
    absl::StrAppendFormat(&text, "%-5s %-13s %5s %9s %8s %8s %10s %9s %10s %8s %7s  %-18s %s\n",
                          "type", "path", "conns", "answers/s", "p50 us", "p99 us", "stage us",
                          "upstr us", "per core", "of dir.", "msgs", "load average", "failures");
    for (const ClosedRow &row : result.closed) {
        absl::StrAppendFormat(
                &text,
                "%-5s %-13s %5d %9.0f %8.0f %8.0f %10.1f %9.1f %10.0f %7.1f%% %7.2f  %-18s %s\n",
                std::string(typeNames.nameOf(row.type)), std::string(pathNames.nameOf(row.path)),
                row.connections, row.load.throughput(),
                toMicroseconds(row.load.quantile(medianShare)),
                toMicroseconds(row.load.quantile(p99Share)), row.stageMicroseconds,
                row.upstreamMicroseconds, row.perCore(), 100 * shareOfDirect(result, row),
                row.meshMessages, row.loadAverage, describeFailures(row.load));
    }
}

void appendOpen(std::string &text, const PathResult &result)
{
    absl::StrAppendFormat(
            &text, "%-5s %-7s %8s %7s %7s %8s %8s %9s %9s %7s %9s %6s %6s  %-18s %s\n", "type",
            "path", "rate/s", "p50 us", "p99 us", "dir. p50", "dir. p99", "added p50", "added p99",
            "own lag", "stolen", "idle", "valid", "load average", "failures");
    for (const OpenRow &row : result.open) {
        const OpenRound &round = row.median();
        absl::StrAppendFormat(
                &text,
                "%-5s %-7s %8.0f %7.0f %7.0f %8.0f %8.0f %9.0f %9.0f %7.0f %6.0f ms %6.1f %4d/%d  "
                "%-18s %s\n",
                std::string(typeNames.nameOf(row.type)), std::string(pathNames.nameOf(row.path)),
                row.rate, toMicroseconds(round.load.quantile(medianShare)),
                toMicroseconds(round.load.quantile(p99Share)),
                toMicroseconds(round.direct.quantile(medianShare)),
                toMicroseconds(round.direct.quantile(p99Share)),
                toMicroseconds(round.added(medianShare)), toMicroseconds(round.added(p99Share)),
                toMicroseconds(round.load.lagQuantile(p99Share)),
                toMicroseconds(round.load.stolen) / 1000, round.load.idleCores, row.validRounds(),
                static_cast<int>(row.rounds.size()), row.loadAverage, describeFailures(round.load));
    }
}

// Returns one line per target that is missed.
std::string describeMisses(const PathResult &result)
{
    std::string text;
    for (const ClosedRow &row : result.closed) {
        if (shareOfDirect(result, row) < targetPerCore) {
            absl::StrAppendFormat(&text, "missed: %s, %s, %d connections: %.1f%% per core\n",
                                  std::string(typeNames.nameOf(row.type)),
                                  std::string(pathNames.nameOf(row.path)), row.connections,
                                  100 * shareOfDirect(result, row));
        }
    }
    for (const OpenRow &row : result.open) {
        const OpenRound &round = row.median();
        const std::string name =
                absl::StrFormat("%s, %s at %.0f/s: ", std::string(typeNames.nameOf(row.type)),
                                std::string(pathNames.nameOf(row.path)), row.rate);
        if (row.validRounds() == 0) {
            absl::StrAppend(&text, "not valid: ", name, round.describeDisturbance(), "\n");
        } else if (round.added(p99Share) >= targetAddedP99) {
            absl::StrAppendFormat(&text, "missed: %sadded p99 %.0f us\n", name,
                                  toMicroseconds(round.added(p99Share)));
        }
    }
    return text.empty() ? "all targets met\n" : text;
}

Json makeJson(const LoadResult &load)
{
    return {{"answers", load.latencies.size()},
            {"perSecond", load.throughput()},
            {"p50Us", toMicroseconds(load.quantile(medianShare))},
            {"p99Us", toMicroseconds(load.quantile(p99Share))},
            {"p999Us", toMicroseconds(load.quantile(p999Share))},
            {"ownLagP99Us", toMicroseconds(load.lagQuantile(p99Share))},
            {"stolenMs", toMicroseconds(load.stolen) / 1000},
            {"idleCores", load.idleCores},
            {"failures", load.failures}};
}

} // namespace

std::string formatTable(const PathResult &result)
{
    std::string text = "Closed loop; processor time per answer; share of direct per core: target "
                       "40 % or more\n";
    appendClosed(text, result);
    text += "\nOpen loop with 64 connections at half of the closed-loop throughput and at a fixed "
            "rate; latency from the intended send time; target: added p99 under 1,000 us; round "
            "with "
            "the median added p99 of the valid ones; own lag: p99 of the caller's delay before the "
            "send; idle: cores\n";
    appendOpen(text, result);
    return text + "\n" + describeMisses(result);
}

std::string formatJson(const PathResult &result)
{
    Json closed = Json::array();
    for (const ClosedRow &row : result.closed) {
        closed.push_back({{"type", typeNames.nameOf(row.type)},
                          {"path", pathNames.nameOf(row.path)},
                          {"connections", row.connections},
                          {"load", makeJson(row.load)},
                          {"stageUs", row.stageMicroseconds},
                          {"upstreamUs", row.upstreamMicroseconds},
                          {"perCore", row.perCore()},
                          {"shareOfDirect", shareOfDirect(result, row)},
                          {"meshMessages", row.meshMessages},
                          {"loadAverage", row.loadAverage}});
    }
    Json open = Json::array();
    for (const OpenRow &row : result.open) {
        Json rounds = Json::array();
        for (const OpenRound &round : row.rounds) {
            rounds.push_back({{"load", makeJson(round.load)},
                              {"direct", makeJson(round.direct)},
                              {"addedP50Us", toMicroseconds(round.added(medianShare))},
                              {"addedP99Us", toMicroseconds(round.added(p99Share))},
                              {"disturbance", round.describeDisturbance()}});
        }
        open.push_back({{"type", typeNames.nameOf(row.type)},
                        {"path", pathNames.nameOf(row.path)},
                        {"rate", row.rate},
                        {"rounds", rounds},
                        {"loadAverage", row.loadAverage}});
    }
    return Json{{"closed", closed}, {"open", open}}.dump(2) + "\n";
}

} // namespace kumquat
