// A system on the users' platform from real programs: stand-ins of the store and of the upstreams
// in this process, one kumquatstage beside each upstream as a process of its own.
//
//   PlatformCluster cluster({.hosts = 4});
//   cluster.publish(1);
//   cluster.host(0).process->signal(SIGSTOP);
//   std::vector<std::string> broken = cluster.findBrokenHolds();
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
    std::vector<std::string> dataCentres{"a"}; // of the hosts in turn; each is a region of its own
    std::string directory = ".";               // of settings and logs
    bool hasProxies = false; // before the store, the upstreams and the ports between processes
    std::chrono::milliseconds workTime{5}; // of one request at an upstream
    int stopSeconds = 6;                   // between SIGTERM and SIGKILL
    bool grantsInAnswers = false; // keys are granted in answers to heartbeats, not by calls
    bool hasKeys = true;          // the service is divided by key
    int slots = 9;                // of each upstream
};

// ---- PlatformHost ----

// One host: an upstream and the process beside it.
struct PlatformHost
{
    std::string node;
    int lives = 0; // of the upstream so far
    std::unique_ptr<PlatformEndpoint> endpoint;
    std::unique_ptr<Child> process;
    Address callers;
    Address readiness;
    Address heartbeats;
    Address upstream;           // stays the same over all lives
    Address advertisedUpstream; // at which the process reaches it
    std::string settingsPath;
    std::unique_ptr<FaultProxy> toStore;
    std::unique_ptr<FaultProxy> toUpstream;
    std::unique_ptr<FaultProxy> toProcess; // from other processes
};

// ---- PlatformCluster ----

// Used by one thread, but for `store` and `ledger`.
class PlatformCluster
{
public:
    explicit PlatformCluster(PlatformClusterOptions clusterOptions = {});
    ~PlatformCluster();

    PlatformCluster(const PlatformCluster &) = delete;
    PlatformCluster &operator=(const PlatformCluster &) = delete;

    // Publishes a configuration with a route of keyed requests that must not run twice (/v/) and
    // one of keyed requests that may (/r/), and one of the latter that only this version has.
    void publish(int version);

    // Returns the path prefix of the route that only this version has.
    static std::string versionPrefix(int version);

    void startProcess(PlatformHost &host) const;

    // Ends the upstream of a host without a word.
    void endUpstream(PlatformHost &host);

    // Starts the next life of an upstream that has ended, under another id at the same address.
    void startUpstream(PlatformHost &host);

    std::vector<PlatformHost> &hosts() { return this->allHosts; }
    PlatformHost &host(std::size_t index) { return this->allHosts.at(index); }

    // Returns the ids of all requests that ran, also at upstreams that have ended.
    std::multiset<std::string> collectRuns() const;

    PlatformStore store;
    HoldLedger ledger;

private:
    void addHost(const std::string &node, const std::string &dataCentre);

    PlatformClusterOptions options;
    ProxyThread proxyThread;
    std::unique_ptr<HttpServer> storeServer;
    std::vector<PlatformHost> allHosts;
    std::multiset<std::string> pastRuns; // of upstreams that ended
};

} // namespace kumquat
