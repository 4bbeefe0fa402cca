// Starts the real programs on loopback ports: a log stand-in and several hosts. Each host runs a
// kumquatstage and an upstream stand-in.
//
//   Cluster cluster("takeover");
//   cluster.startDefaultHosts();
//   cluster.publishRules();
//   REQUIRE(cluster.waitUntilServed(10s));
//   Host &owner = cluster.findOwner("testlog", "D-0");
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "standins/http.h"
#include "standins/ledger.h"
#include "standins/load.h"
#include "system/child.h"
#include "wire/log.pb.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquat {

// One host: a process and its upstream.
struct Host
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string service;
    Address callers;
    Address admin;
    Address mesh;
    std::vector<std::string> upstreamOptions; // extra options for upstream_standin
    std::uint16_t upstreamPort = 0;
    std::string upstreamName; // name in the ledger; each start of the upstream gets a new one
    int upstreamStarts = 0;
    std::unique_ptr<Child> process;
    std::unique_ptr<Child> upstream;
};

class Cluster
{
public:
    // Starts the log stand-in. Files are written to build/system/<name>.
    explicit Cluster(std::string name);

    // Saves the records of the log as records.pb and ends all processes.
    ~Cluster();

    // Adds a host and starts its processes. `dataCentre` has the form REGION-NUMBER.
    Host &startHost(const std::string &name, const std::string &dataCentre,
                    const std::string &service, std::vector<std::string> upstreamOptions = {});

    // Starts 6 hosts in 3 data centres: 4 hosts serve testlog (one of them checks
    // grants), 2 serve certdesk.
    void startDefaultHosts(const std::vector<std::string> &upstreamOptions = {});

    void startProcess(Host &host);
    void startUpstream(Host &host);

    // Publishes the default rules with kumquatctl; returns its exit status.
    int publishRules();

    // Runs kumquatctl, waits for it and returns its exit status. `output` receives what it printed.
    int runCtl(const std::vector<std::string> &arguments, std::string *output = nullptr);

    // Starts kumquatctl without waiting for it.
    std::unique_ptr<Child> startCtl(const std::vector<std::string> &arguments);

    // Sets the log retention time in the settings of processes that are started afterwards.
    void setRetention(std::chrono::milliseconds time) { this->retention = time; }

    // Waits until every process answers on its admin port.
    bool waitUntilStarted(Duration timeout);

    // Waits until every node has a session with 3 settled peers. Before that, the loss of an owner
    // is not tolerated: only its own node can take over a session without peers.
    bool waitUntilProtected(Duration timeout);

    // Returns the peers of each node that has a session with 3 settled peers.
    std::map<std::string, std::vector<std::string>> findPeers() const;

    // Returns the records that the log currently retains, with their offsets.
    std::vector<std::pair<std::uint64_t, wire::LogRecord>> readLog() const;

    // Waits until every host answers reads of several keys of each service.
    bool waitUntilServed(Duration timeout);

    // Waits until requests for the keys of the service run at `count` upstreams or more.
    bool waitUntilDistributed(const std::string &service, std::size_t count, Duration timeout);

    // Returns the host whose upstream ran the last request for the key.
    Host &findOwner(const std::string &service, const std::string &key);

    // Returns the host whose upstream started most runs of the service since `since`.
    Host &findBusiest(const std::string &service, Time since);

    // Returns load options that use all hosts except `excluded` as entries.
    LoadOptions makeLoad(Duration duration, const Host *excluded = nullptr) const;

    // Sends one request to a host.
    static HttpExchange send(const Address &address, const HttpRequest &request,
                             Duration timeout = 3s);

    // Reads a key through a host. The returned attempt contains the outcome.
    Attempt read(const Host &host, const std::string &service, const std::string &key);

    // Returns the owner of the key according to the queried host, empty if it knows none.
    static std::string queryOwner(const Host &queried, const std::string &service,
                                  const std::string &key);

    // Calls an endpoint of the log stand-in.
    void controlLog(const std::string &target);
    static void controlUpstream(const Host &host, const std::string &target);

    // Drops all messages from one process to another (isCut), or stops dropping them.
    static void cutMessages(const Host &from, const Host &to, bool isCut);

    // Returns the runs of all upstreams, including those that were killed.
    Records collectRecords() const;
    std::vector<Run> collectRuns() const { return this->collectRecords().runs; }

    // Returns the end of the log of every process, for the message of a failed test.
    std::string describeLogs() const;

    std::string directory() const { return this->path; }
    std::string rulesPath() const { return this->path + "/rules"; }
    Address logAddress() const { return this->log; }
    std::vector<std::unique_ptr<Host>> &hosts() { return this->allHosts; }
    Host &host(const std::string &name);

private:
    std::string path;
    Address log;
    std::chrono::milliseconds retention = 24h;
    std::unique_ptr<Child> logProcess;
    std::vector<std::unique_ptr<Host>> allHosts;
    std::vector<std::string> ledgers;
    std::uint64_t nextToken = 0;
    int nextCtl = 0;
};

} // namespace kumquat
