#include "path_bench/cluster.h"

#include "path_bench/caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <thread>
#include <utility>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr const char *rules =
        "route GET  /bench/ service=bench key=segment:2 idempotent=yes timeout=800ms"
        "  # asked by bench_path\n"
        "route POST /bench/ service=bench key=header:Bench-Key idempotent=no timeout=900ms"
        "  # asked by bench_path\n";

constexpr Duration pollInterval = 100ms;
constexpr Duration slotsPollInterval = 1s; // the first session passes its slots on in steps of 4 s
constexpr Duration startInterval = 10ms;   // between the starts of two processes
constexpr Duration sessionTimeout = 60s;   // for all processes to join
constexpr Duration publishTimeout = 20s;
constexpr int okStatus = 200;

std::string binary(const std::string &name)
{
    return std::string(KUMQUAT_BIN_DIR) + "/" + name;
}

Address makeAddress()
{
    return {"127.0.0.1", findFreePort()};
}

Json readJson(const Address &address, const std::string &target)
{
    CallerConnection connection(address);
    return Json::parse(connection.send(target).body, nullptr, false);
}

bool hasSession(const BenchNode &node)
{
    const Json status = readJson(node.admin, "/status");
    return status.is_object() && status.value("service", "") == node.service
           && status.value("leaseMs", 0.0) > 0;
}

} // namespace

BenchCluster::BenchCluster(BenchClusterOptions newOptions)
    : log(makeAddress())
    , upstream(makeAddress())
    , options(std::move(newOptions))
{
    for (int index = 0; index < this->options.nodes; ++index) {
        const int dataCentre = index % this->options.dataCentres;
        const std::size_t service = static_cast<std::size_t>(index) % this->options.services.size();
        this->nodes.push_back(
                {.name = absl::StrCat("n", index),
                 .service = this->options.services[service],
                 .region = absl::StrCat("region-", dataCentre % this->options.regions),
                 .dataCentre = absl::StrCat("dc-", dataCentre),
                 .callers = makeAddress(),
                 .admin = makeAddress(),
                 .mesh = makeAddress()});
    }
}

absl::Status BenchCluster::start()
{
    std::filesystem::remove_all(this->options.directory);
    std::filesystem::create_directories(this->options.directory);
    auto started = Child::start({binary("log_standin"), "--listen", this->log.toString()},
                                this->options.directory + "/log.log");
    if (!started.ok()) {
        return started.status();
    }
    this->logProcess = *std::move(started);
    for (BenchNode &node : this->nodes) {
        if (absl::Status status = this->startNode(node); !status.ok()) {
            return status;
        }
        std::this_thread::sleep_for(startInterval);
    }
    if (absl::Status status = this->startUpstream(); !status.ok()) {
        return status;
    }
    if (absl::Status status = this->waitForSessions(sessionTimeout); !status.ok()) {
        return status;
    }
    return this->publishRules().status();
}

absl::Status BenchCluster::startNode(BenchNode &node)
{
    const Json settings{{"node", node.name},
                        {"region", node.region},
                        {"dataCentre", node.dataCentre},
                        {"listen",
                         {{"callers", node.callers.toString()},
                          {"admin", node.admin.toString()},
                          {"mesh", node.mesh.toString()}}},
                        {"log", {this->log.toString()}}};
    const std::string path = absl::StrCat(this->options.directory, "/", node.name);
    writeFile(path + ".json", settings.dump(2));
    auto started =
            Child::start({binary("kumquatstage"), "--config", path + ".json"}, path + ".log");
    if (!started.ok()) {
        return started.status();
    }
    node.process = *std::move(started);
    return absl::OkStatus();
}

absl::Status BenchCluster::startUpstream()
{
    std::string receivers;
    for (const BenchNode &node : this->nodes) {
        absl::StrAppend(&receivers, node.service, " ", node.admin.toString(), "\n");
    }
    const std::string file = this->options.directory + "/receivers.txt";
    writeFile(file, receivers);
    auto started = Child::start({this->options.programPath, "upstream", "--listen",
                                 this->upstream.toString(), "--announce", file, "--slots",
                                 std::to_string(this->options.upstreamSlots)},
                                this->options.directory + "/upstream.log");
    if (!started.ok()) {
        return started.status();
    }
    this->upstreamProcess = *std::move(started);
    return absl::OkStatus();
}

absl::Status BenchCluster::waitForSessions(Duration maxWait)
{
    const Time deadline = readBootTime() + maxWait;
    for (const BenchNode &node : this->nodes) {
        while (!hasSession(node)) {
            if (readBootTime() >= deadline) {
                return absl::DeadlineExceededError(
                        absl::StrCat(node.name, " has no session; see ", this->options.directory));
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<Duration> BenchCluster::publishRules()
{
    const Time start = readBootTime();
    const std::string file = this->options.directory + "/rules.txt";
    writeFile(file, rules);
    const auto publish = Child::start({binary("kumquatctl"), "publish", "--admin",
                                       this->nodes.front().admin.toString(), "--log",
                                       this->log.toString(), "--author", "bench_path", file},
                                      this->options.directory + "/publish.log");
    if (!publish.ok()) {
        return publish.status();
    }
    if ((*publish)->waitForExit(publishTimeout) != 0) {
        return absl::UnavailableError("kumquatctl publish failed: " + (*publish)->output());
    }
    return readBootTime() - start;
}

bool BenchCluster::waitUntilQuiet(Duration quiet, Duration maxWait)
{
    const Time deadline = readBootTime() + maxWait;
    std::uint64_t end = this->readLog().end;
    Time changed = readBootTime();
    while (readBootTime() < changed + quiet) {
        if (readBootTime() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
        if (const std::uint64_t now = this->readLog().end; now != end) {
            end = now;
            changed = readBootTime();
        }
    }
    return true;
}

bool BenchCluster::waitUntilAllOwnSlots(Duration maxWait) const
{
    const Time deadline = readBootTime() + maxWait;
    for (const BenchNode &node : this->nodes) {
        while (findMetric(readMetrics(node.admin), "kumquat_slots") <= 0) {
            if (readBootTime() >= deadline) {
                return false;
            }
            std::this_thread::sleep_for(slotsPollInterval);
        }
    }
    return true;
}

LogCounters BenchCluster::readLog() const
{
    const Json status = readJson(this->log, "/control/status");
    if (!status.is_object()) {
        return {};
    }
    return {status.value("end", std::uint64_t{0}), status.value("appends", std::uint64_t{0}),
            status.value("reads", std::uint64_t{0})};
}

std::set<int> BenchCluster::processIds() const
{
    std::set<int> result;
    for (const BenchNode &node : this->nodes) {
        result.insert(node.process->id());
    }
    return result;
}

std::set<int> BenchCluster::meshPorts() const
{
    std::set<int> result;
    for (const BenchNode &node : this->nodes) {
        result.insert(node.mesh.port);
    }
    return result;
}

double findMetric(const std::string &text, const std::string &name)
{
    const std::size_t start = text.find("\n" + name + " ");
    double value = 0;
    if (start != std::string::npos) {
        const std::size_t valueStart = start + name.size() + 2;
        static_cast<void>(absl::SimpleAtod(
                text.substr(valueStart, text.find('\n', valueStart) - valueStart), &value));
    }
    return value;
}

std::string readMetrics(const Address &admin)
{
    CallerConnection connection(admin);
    const CallerAnswer answer = connection.send("/metrics");
    return answer.status == okStatus ? answer.body : "";
}

} // namespace kumquat
