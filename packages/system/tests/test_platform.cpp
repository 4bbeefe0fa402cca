// The whole path on the users' platform with real processes: stand-ins of the store and of the
// upstreams, one kumquatstage beside each upstream.
#include "standins/platform_endpoint.h"
#include "standins/platform_store.h"
#include "system/child.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <set>

using namespace kumquat;

namespace {

using Json = nlohmann::json;

constexpr int hostCount = 4;
constexpr std::uint32_t keyStep = 4'001; // spreads the keys of a test over all ranges

// One host: an upstream and the process beside it.
struct Host
{
    std::string node;
    std::unique_ptr<PlatformEndpoint> endpoint;
    std::unique_ptr<Child> process;
    Address callers;
    Address heartbeats;
    std::string settingsPath;
};

class PlatformCluster
{
public:
    PlatformCluster()
        : storeServer(*HttpServer::start({"127.0.0.1", 0}, this->store.handler()))
    {
        this->publish(1);
        for (int i = 0; i < hostCount; ++i) {
            this->addHost("host-" + std::to_string(i));
        }
    }

    ~PlatformCluster()
    {
        this->hosts.clear();
        this->store.stop();
    }

    PlatformCluster(const PlatformCluster &) = delete;
    PlatformCluster &operator=(const PlatformCluster &) = delete;

    // Publishes a configuration with one route of keyed requests.
    void publish(int version)
    {
        const Json route{"r-1", "shop.example", "/v/", "non_idempotent", 1500, 400,
                         1,     "testlog",      2,     nullptr};
        const Json columns{"name",         "host",
                           "path_prefix",  "route_type",
                           "timeout_ms",   "target_latency_ms",
                           "priority",     "service",
                           "max_attempts", "weighted_clusters"};
        const Json service{"testlog", "/health", 100, true};
        const Json config{{"version", "r" + std::to_string(version)},
                          {"routes", {{"columns", columns}, {"rows", Json::array({route})}}},
                          {"services",
                           {{"columns", {"name", "health_path", "max_connections", "sharded"}},
                            {"rows", Json::array({service})}}}};
        this->store.put("keyed.op", 0, "config", config.dump());
    }

    void startProcess(Host &host) const
    {
        host.process =
                Child::start({KUMQUAT_BIN_DIR "/kumquatstage", "--platform", host.settingsPath},
                             host.settingsPath + ".log")
                        .value();
    }

    // Sends one request to a host and returns the status, 0 without an answer.
    int send(const Host &host, std::uint32_t key)
    {
        HttpClient client(host.callers);
        const std::string id = "request-" + std::to_string(++this->lastRequest);
        const HttpExchange exchange = client.send({"POST",
                                                   "/v/x",
                                                   {{"Host", "shop.example"},
                                                    {"X-Attempt-Id", id},
                                                    {"X-Deadline-Remaining", "1500"},
                                                    {"X-Shard-Key", std::to_string(key)}},
                                                   "body"},
                                                  2s);
        const int status = exchange.result == ExchangeResult::Answered ? exchange.answer.status : 0;
        if (status == 200) {
            this->answered.insert(id);
        }
        if (status == 503) {
            this->refused.insert(id);
        }
        return status;
    }

    // Sends requests until each key was answered, and returns how long that took.
    Duration waitUntilServed(const std::vector<const Host *> &entries, Duration longest)
    {
        const Time started = readBootTime();
        for (std::uint32_t key = 0; key <= 65'535; key += keyStep) {
            while (this->send(*entries[key % entries.size()], key) != 200
                   && readBootTime() - started < longest) {
            }
        }
        return readBootTime() - started;
    }

    // Checks that no key had two owners, no request ran twice, and none that was refused ran.
    void checkPromises()
    {
        for (const std::string &line : this->ledger.conflicts()) {
            FAIL_CHECK(line);
        }
        std::multiset<std::string> runs = this->pastRuns;
        for (const Host &host : this->hosts) {
            if (host.endpoint) {
                const std::vector<std::string> ran = host.endpoint->runs();
                runs.insert(ran.begin(), ran.end());
            }
        }
        for (const std::string &id : runs) {
            INFO(id);
            CHECK(runs.count(id) == 1);
            CHECK_FALSE(this->refused.contains(id));
        }
        for (const std::string &id : this->answered) {
            INFO(id);
            CHECK(runs.contains(id));
        }
    }

    // Ends the upstream of a host for good.
    void endUpstream(Host &host)
    {
        const std::vector<std::string> ran = host.endpoint->runs();
        this->pastRuns.insert(ran.begin(), ran.end());
        host.endpoint.reset();
    }

    std::vector<const Host *> allHosts() const
    {
        std::vector<const Host *> result;
        for (const Host &host : this->hosts) {
            result.push_back(&host);
        }
        return result;
    }

    PlatformStore store;
    HoldLedger ledger;
    std::vector<Host> hosts;

private:
    static Address freeAddress() { return {"127.0.0.1", findFreePort()}; }

    void addHost(const std::string &node)
    {
        Host host{.node = node,
                  .endpoint =
                          std::make_unique<PlatformEndpoint>("i-" + node, "testlog", this->ledger),
                  .callers = freeAddress(),
                  .heartbeats = freeAddress(),
                  .settingsPath = "platform-" + node + ".json"};
        const Json settings{{"node", node},
                            {"region", "north"},
                            {"dataCentre", "a"},
                            {"firstStart", true},
                            {"service", "testlog"},
                            {"upstream", "127.0.0.1:" + std::to_string(host.endpoint->port())},
                            {"store", "127.0.0.1:" + std::to_string(this->storeServer->port())},
                            {"listen",
                             {{"callers", host.callers.toString()},
                              {"readiness", freeAddress().toString()},
                              {"heartbeats", host.heartbeats.toString()},
                              {"processes", freeAddress().toString()},
                              {"metrics", freeAddress().toString()}}},
                            {"limits",
                             {{"drainMs", 2500},
                              {"stopSeconds", 6},
                              {"longestHoldMs", 10'000},
                              {"retryShare", 0.2},
                              {"retryWindowSeconds", 10},
                              {"retrySlack", 60}}}};
        writeFile(host.settingsPath, settings.dump());
        this->startProcess(host);
        host.endpoint->sendHeartbeatsTo(host.heartbeats);
        this->hosts.push_back(std::move(host));
    }

    std::unique_ptr<HttpServer> storeServer;
    std::multiset<std::string> pastRuns; // of upstreams that ended
    std::set<std::string> answered;
    std::set<std::string> refused;
    int lastRequest = 0;
};

} // namespace

// Guards the path from a caller through two processes to the owner of the key.
TEST_CASE("each key is served through every host", "[platform]")
{
    PlatformCluster cluster;
    REQUIRE(cluster.waitUntilServed(cluster.allHosts(), 20s) < 20s);
    for (const Host &host : cluster.hosts) {
        CHECK(cluster.send(host, 17) == 200);
        CHECK(cluster.send(host, 65'535) == 200);
        CHECK_FALSE(host.endpoint->runs().empty());
    }
    cluster.checkPromises();
}

TEST_CASE("the keys of a host that lost power are served by others, each by one", "[platform]")
{
    PlatformCluster cluster;
    REQUIRE(cluster.waitUntilServed(cluster.allHosts(), 20s) < 20s);
    cluster.hosts[1].process->kill();
    cluster.endUpstream(cluster.hosts[1]);
    const std::vector<const Host *> others{&cluster.hosts[0], &cluster.hosts[2], &cluster.hosts[3]};
    CHECK(cluster.waitUntilServed(others, 15s) < 15s);
    cluster.checkPromises();
}

// The lease needs no store, so an outage alone takes no key away; a paused process loses its keys
// and must not go on with them when it wakes.
TEST_CASE("owners go on while the store is away, and a paused one is replaced after it",
          "[platform]")
{
    PlatformCluster cluster;
    REQUIRE(cluster.waitUntilServed(cluster.allHosts(), 20s) < 20s);
    cluster.store.setFault(StoreFault::Down);
    std::this_thread::sleep_for(4s);
    int served = 0;
    int asked = 0;
    for (std::uint32_t key = 0; key <= 65'535; key += keyStep, ++asked) {
        served += cluster.send(cluster.hosts[key % hostCount], key) == 200 ? 1 : 0;
    }
    CHECK(served == asked);

    cluster.hosts[2].process->signal(SIGSTOP);
    cluster.store.setFault(StoreFault::None);
    const std::vector<const Host *> others{&cluster.hosts[0], &cluster.hosts[1], &cluster.hosts[3]};
    CHECK(cluster.waitUntilServed(others, 15s) < 15s);
    cluster.hosts[2].process->signal(SIGCONT);
    CHECK(cluster.waitUntilServed(cluster.allHosts(), 15s) < 15s);
    cluster.checkPromises();
}

TEST_CASE("lost answers and a compacted history of the store change nothing for callers",
          "[platform]")
{
    PlatformCluster cluster;
    REQUIRE(cluster.waitUntilServed(cluster.allHosts(), 20s) < 20s);
    cluster.store.compact();
    cluster.store.setFault(StoreFault::LostAnswers);
    cluster.hosts[0].endpoint->setDraining();
    std::this_thread::sleep_for(2s);
    cluster.store.setFault(StoreFault::None);
    CHECK(cluster.waitUntilServed(cluster.allHosts(), 15s) < 15s);
    cluster.checkPromises();
}

TEST_CASE("a process that is told to stop hands its keys over and exits", "[platform]")
{
    PlatformCluster cluster;
    REQUIRE(cluster.waitUntilServed(cluster.allHosts(), 20s) < 20s);
    cluster.hosts[3].process->signal(SIGTERM);
    std::this_thread::sleep_for(1500ms);
    const std::vector<const Host *> others{&cluster.hosts[0], &cluster.hosts[1], &cluster.hosts[2]};
    CHECK(cluster.waitUntilServed(others, 5s) < 5s);
    CHECK(cluster.hosts[3].process->waitForExit(7s) == 0);
    cluster.startProcess(cluster.hosts[3]);
    CHECK(cluster.waitUntilServed(cluster.allHosts(), 10s) < 10s);
    cluster.checkPromises();
}
