// A cluster on the users' platform: stand-ins for the store and the upstreams run in the test
// process, and each upstream has its own kumquatstage as a child process.
//
//   PlatformCluster cluster({.hosts = 4});
//   cluster.publish(1);
//   cluster.host(0).process->signal(SIGSTOP);
//   std::vector<std::string> conflicts = cluster.ledger.conflicts();
//
// Sections: options, PlatformHost, PlatformCluster.
#pragma once

#include "standins/fault_proxy.h"
#include "standins/platform_endpoint.h"
#include "standins/platform_store.h"
#include "system/child.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

// ---- Options ----

struct PlatformClusterOptions
{
    int hosts = 4;
    std::vector<std::string> dataCentres{"a"}; // assigned to hosts in turn; one region each
    std::string directory = ".";               // for settings files and logs
    bool hasProxies = false;               // fault proxies before store, upstreams, process ports
    std::chrono::milliseconds workTime{5}; // service time of one request at an upstream
    int stopSeconds = 6;                   // between SIGTERM and SIGKILL
    bool grantsInAnswers = false;          // grant keys in heartbeat replies, not in calls
    bool hasKeys = true;                   // the service is sharded by key
    int slots = 9;                         // concurrent requests of each upstream
    int memoryMb = 0;                      // memory of each host; 0: not stated
    std::uint64_t maxBodyBytes = 0;        // of a request; 0: the default of the configuration
    int timeoutMs = 1500;                  // of all routes
    std::string handover = "handover";     // in the answers of upstreams to releases
    HttpFields answerFields;               // in the answers of upstreams to requests that ran
    // Regions of the route for idempotent requests under limitedPrefix; empty: no such route.
    std::vector<std::string> limitedRegions;
};

// ---- PlatformHost ----

// One host: an upstream and its kumquatstage process.
struct PlatformHost
{
    std::string node;
    int instances = 0; // number of upstream instances started so far
    std::unique_ptr<PlatformEndpoint> endpoint;
    std::unique_ptr<Child> process;
    Address callers;
    Address readiness;
    Address heartbeats;
    Address upstream;           // the same for all upstream instances
    Address advertisedUpstream; // where the process reaches the upstream
    std::string settingsPath;
    std::unique_ptr<FaultProxy> toStore;
    std::unique_ptr<FaultProxy> toUpstream;
    std::unique_ptr<FaultProxy> toProcess; // for connections from other processes
};

// ---- PlatformCluster ----

// Not thread-safe, except for `store` and `ledger`.
class PlatformCluster
{
public:
    explicit PlatformCluster(PlatformClusterOptions clusterOptions = {});
    ~PlatformCluster();

    PlatformCluster(const PlatformCluster &) = delete;
    PlatformCluster &operator=(const PlatformCluster &) = delete;

    // Publishes a configuration with three routes: keyed non-idempotent requests (/v/), keyed
    // idempotent requests (/r/), and idempotent requests under the prefix versionPrefix(version).
    void publish(int version);

    // Returns the path prefix of the route that exists only in this version.
    static std::string versionPrefix(int version);

    // Path prefix of the route that runs only in `limitedRegions`.
    static constexpr auto limitedPrefix = "/limited/";

    void startProcess(PlatformHost &host) const;

    // Ends the upstream of a host without deregistering it.
    void endUpstream(PlatformHost &host);

    // Starts a new instance of an upstream that has ended, with a new id at the same address.
    // `clockAhead`: of the wall clock of its host meanwhile.
    void startUpstream(PlatformHost &host, std::chrono::milliseconds clockAhead = {});

    std::vector<PlatformHost> &hosts() { return this->allHosts; }
    PlatformHost &host(std::size_t index) { return this->allHosts.at(index); }

    // Returns the ids of all requests that ran, including those at upstreams that have ended.
    std::multiset<std::string> collectRuns() const;

    PlatformStore store;
    HoldLedger ledger;

private:
    void addHost(const std::string &node, const std::string &dataCentre);

    PlatformClusterOptions options;
    ProxyThread proxyThread;
    std::unique_ptr<HttpServer> storeServer;
    std::vector<PlatformHost> allHosts;
    std::multiset<std::string> pastRuns; // runs at upstreams that have ended
};

} // namespace kumquat
