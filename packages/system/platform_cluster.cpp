#include "system/platform_cluster.h"

#include <nlohmann/json.hpp>

namespace kumquat {
namespace {

using Json = nlohmann::json;

constexpr int objectiveMs = 400; // of all routes
constexpr int maxConnections = 100;

Address makeAddress()
{
    return {"127.0.0.1", findFreePort()};
}

Json routeRow(const std::string &name, const std::string &prefix, const std::string &type,
              int timeoutMs, const Json &allowedRegions = nullptr)
{
    constexpr int maxAttempts = 2;
    return {name, "shop.example", prefix,      type,    timeoutMs,     objectiveMs,
            1,    "testlog",      maxAttempts, nullptr, allowedRegions};
}

} // namespace

PlatformCluster::PlatformCluster(PlatformClusterOptions clusterOptions)
    : options(std::move(clusterOptions))
    , storeServer(*HttpServer::start({"127.0.0.1", 0}, this->store.handler()))
{
    this->publish(1);
    for (int i = 0; i < this->options.hosts; ++i) {
        const auto &centres = this->options.dataCentres;
        this->addHost("host-" + std::to_string(i),
                      centres[static_cast<std::size_t>(i) % centres.size()]);
    }
}

PlatformCluster::~PlatformCluster()
{
    this->allHosts.clear();
    this->store.stop();
}

void PlatformCluster::publish(int version)
{
    const Json columns{"name",           "host",
                       "path_prefix",    "route_type",
                       "timeout_ms",     "target_latency_ms",
                       "priority",       "service",
                       "max_attempts",   "weighted_clusters",
                       "allowed_regions"};
    const int timeoutMs = this->options.timeoutMs;
    Json rows{routeRow("r-1", "/v/", "non_idempotent", timeoutMs),
              routeRow("r-2", "/r/", "idempotent", timeoutMs),
              routeRow("r-3", versionPrefix(version), "idempotent", timeoutMs)};
    if (!this->options.limitedRegions.empty()) {
        rows.push_back(routeRow("r-4", limitedPrefix, "idempotent", timeoutMs,
                                this->options.limitedRegions));
    }
    const Json service{"testlog", "/health", maxConnections, this->options.hasKeys,
                       this->options.grantsInAnswers ? "heartbeat" : "call"};
    Json config{{"version", "r" + std::to_string(version)},
                {"routes", {{"columns", columns}, {"rows", rows}}},
                {"services",
                 {{"columns", {"name", "health_path", "max_connections", "sharded", "grants"}},
                  {"rows", Json::array({service})}}}};
    if (this->options.maxBodyBytes > 0) {
        config["limits"] = {{"max_body_bytes", this->options.maxBodyBytes}};
    }
    this->store.put("keyed.op", 0, "config", config.dump());
}

std::string PlatformCluster::versionPrefix(int version)
{
    return "/version-" + std::to_string(version) + "/";
}

void PlatformCluster::startProcess(PlatformHost &host) const
{
    host.process = Child::start({KUMQUAT_BIN_DIR "/kumquatstage", "--platform", host.settingsPath},
                                host.settingsPath + ".log")
                           .value();
}

void PlatformCluster::endUpstream(PlatformHost &host)
{
    host.endpoint->stop();
    const std::vector<std::string> ran = host.endpoint->runs();
    this->pastRuns.insert(ran.begin(), ran.end());
    host.endpoint.reset();
}

void PlatformCluster::startUpstream(PlatformHost &host, std::chrono::milliseconds clockAhead)
{
    const std::string id = "i-" + host.node + "-" + std::to_string(++host.instances);
    host.endpoint = std::make_unique<PlatformEndpoint>(
            id, "testlog", this->ledger,
            EndpointOptions{.port = host.upstream.port,
                            .advertisedPort = host.advertisedUpstream.port,
                            .workTime = this->options.workTime,
                            .grantsInAnswers = this->options.grantsInAnswers,
                            .slots = this->options.slots,
                            .clockAhead = clockAhead,
                            .handover = this->options.handover,
                            .answerFields = this->options.answerFields});
    host.endpoint->sendHeartbeatsTo(host.heartbeats);
}

std::multiset<std::string> PlatformCluster::collectRuns() const
{
    std::multiset<std::string> runs = this->pastRuns;
    for (const PlatformHost &host : this->allHosts) {
        if (host.endpoint) {
            const std::vector<std::string> ran = host.endpoint->runs();
            runs.insert(ran.begin(), ran.end());
        }
    }
    return runs;
}

void PlatformCluster::addHost(const std::string &node, const std::string &dataCentre)
{
    PlatformHost host{.node = node,
                      .callers = makeAddress(),
                      .readiness = makeAddress(),
                      .heartbeats = makeAddress(),
                      .upstream = makeAddress(),
                      .settingsPath = this->options.directory + "/platform-" + node + ".json"};
    host.advertisedUpstream = host.upstream;
    Address storeAddress{"127.0.0.1", this->storeServer->port()};
    const Address processes = makeAddress();
    Json listen{{"callers", host.callers.toString()},
                {"readiness", host.readiness.toString()},
                {"heartbeats", host.heartbeats.toString()},
                {"processes", processes.toString()},
                {"metrics", makeAddress().toString()}};
    if (this->options.hasProxies) {
        const auto makeProxy = [this](const Address &target, Address &seen) {
            seen = makeAddress();
            return FaultProxy::create(this->proxyThread, seen, target).value();
        };
        Address advertised;
        host.toStore = makeProxy(Address(storeAddress), storeAddress);
        host.toUpstream = makeProxy(host.upstream, host.advertisedUpstream);
        host.toProcess = makeProxy(processes, advertised);
        listen["processesAdvertised"] = advertised.toString();
    }
    Json limits{{"drainMs", 2500},         {"stopSeconds", this->options.stopSeconds},
                {"longestHoldMs", 10'000}, {"retryShare", 0.2},
                {"retrySlack", 60},        {"retryWindowSeconds", 10}};
    if (this->options.memoryMb > 0) {
        limits["memoryMb"] = this->options.memoryMb;
    }
    const Json settings{{"node", node},
                        {"region", "region-" + dataCentre},
                        {"dataCentre", dataCentre},
                        {"firstStart", true},
                        {"service", "testlog"},
                        {"upstream", host.advertisedUpstream.toString()},
                        {"store", storeAddress.toString()},
                        {"heartbeatMs", 300},
                        {"listen", listen},
                        {"limits", limits}};
    writeFile(host.settingsPath, settings.dump());
    this->startProcess(host);
    this->startUpstream(host);
    this->allHosts.push_back(std::move(host));
}

} // namespace kumquat
