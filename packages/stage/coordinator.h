// Writes the key table of one service. Every host of the service runs one; the first reachable one
// in a hashed order acts, the others report to it. Two that act at once do no harm, as the store
// takes a table only if it was made from the newest one.
//
// Sections: hooks, Coordinator.
#pragma once

#include "keyspace/range_planner.h"
#include "platform/store.h"
#include "stage/acting_host.h"
#include "stage/cluster_view.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "stage/relay_choice.h"

#include <functional>
#include <map>
#include <string>

namespace kumquat {

// ---- Hooks ----

struct CoordinatorHooks
{
    std::function<wire::LoadReport()> makeReport; // of this host, without the key counts
    std::function<std::map<ShardKey, std::uint32_t>()> takeKeyCounts;
    std::function<void(const std::string &node, const wire::Known &known)> known;
    std::function<void()> tablesBehind; // the store has records that this host has not read
    std::function<void(const wire::StateReply &news)> spread; // sends news to all hosts
};

struct CoordinatorSettings
{
    Duration reportEvery = 400ms;
    Duration planEvery = 200ms;
    Duration balanceEvery = 1s;
    Duration reportLimit = 900ms; // for the answer; then the next host in the order takes over
    Duration unheardFor = 2s;     // a host that can't be reached counts as gone after it
    // After the last news of hosts, before the first table. The host that writes it may read
    // records as a stand-in for the relays, and the keys would go to the few that it knows of.
    Duration settle = RelayChoiceSettings{}.standInPause + 300ms;
    Duration statementFor = 2s;           // then the record in the store counts again
    Duration loadMemory = 3s;             // of the request rate of a key
    GrantMode grantWay = GrantMode::Call; // for services that do not name theirs
    Duration heartbeatInterval = 1s;      // of the upstreams
    PlannerSettings planner;
};

// ---- Coordinator ----

// Used on one thread.
class Coordinator
{
public:
    Coordinator(FiberThread &coordinatorThread, const std::string &ownNode,
                const std::string &ownService, ClusterView &clusterView, LinkPool &linkPool,
                platform::StoreClient &storeClient, Metrics &stageMetrics,
                CoordinatorHooks coordinatorHooks, CoordinatorSettings coordinatorSettings = {});

    // Call every 100 ms.
    void advance(Time now);

    // Sends a report at the next advance, after a change at this host.
    void reportSoon() { this->reportedAt = -1h; }

    void noteHeard(const std::string &reporter) { this->actingHost.noteHeard(reporter); }
    void noteReport(const std::string &node, const wire::LoadReport &report, Time now);
    void noteHostChanged(Time now) { this->hostsChangedAt = now; }

private:
    struct Report
    {
        SessionReport content;
        Time at{};
    };

    // What a host said of its upstream, newer than its record in the store.
    struct Statement
    {
        UpstreamInstance life;
        std::uint32_t slots = 1;
        UpstreamPhase phase = UpstreamPhase::Absent;
        Time at{};
    };

    std::string actingNode(Time now) const;
    void noteStatement(const std::string &reporter, const wire::LoadReport &report, Time now);
    void report(const std::string &acting, Time now);
    void noteSessions(const KeyTable &table, Time now);
    void plan(Time now);
    void logEndedSessions(const PlanInput &input, const KeyTable &next) const;
    PlanInput makeInput(const KeyTable &table, Time now) const;
    void write(KeyTable table);
    void push(const std::string &bytes, std::uint64_t end);

    FiberThread &thread;
    std::string node;
    std::string service;
    ClusterView &view;
    LinkPool &links;
    platform::StoreClient &store;
    Metrics &metrics;
    CoordinatorHooks hooks;
    CoordinatorSettings settings;
    KeyLoad load;
    std::map<std::uint64_t, Report> reports;     // by session
    std::map<std::string, Statement> statements; // by node
    ActingHost actingHost;
    Time reportedAt = -1h;
    Time plannedAt = -1h;
    Time balancedAt = -1h;
    Time hostsChangedAt{};
    Time actingSince{};
    std::string chosen; // node that writes the table, as this host sees it
    bool isWriting = false;
};

} // namespace kumquat
