// Writes the key table of one service. Every host of the service runs one; the first reachable one
// in a hashed order acts, the others report to it. Two that act at once do no harm, as the store
// takes a table only if it was made from the newest one.
//
// Sections: hooks, Coordinator.
#pragma once

#include "keyspace/range_planner.h"
#include "platform/store.h"
#include "stage/cluster_view.h"
#include "stage/link.h"
#include "stage/metrics.h"
#include "stage/relay_choice.h"
#include "stage/writer_choice.h"

#include <functional>
#include <map>
#include <string>

namespace kumquat {

// ---- Hooks ----

struct CoordinatorHooks
{
    std::function<wire::LoadReport()> makeReport; // of this host, without the key counts
    std::function<std::map<ShardKey, std::uint32_t>()> takeKeyCounts;
    std::function<void(const std::string &node, const wire::Known &known)> knownReceived;
    std::function<void()> tablesOutdated; // the store has records that this host has not read
    std::function<void(const wire::StateReply &update)> broadcast; // sends news to all hosts
};

struct CoordinatorSettings
{
    Duration reportInterval = 400ms;
    Duration planInterval = 200ms;
    Duration balanceInterval = 1s;
    Duration reportTimeout = 900ms; // for the answer; then the next host in the order takes over
    Duration unreachableAfter = 2s; // a host that can't be reached counts as gone after it
    // After the last news of hosts, before the first table. The host that writes it may read
    // records as a stand-in for the relays, and the keys would go to the few that it knows of.
    Duration settlePeriod = RelayChoiceSettings{}.temporaryRelayPause + 300ms;
    Duration hostStatusTimeout = 2s;     // then the record in the store counts again
    Duration loadDecayTime = 3s;         // of the request rate of a key
    GrantWay grantMode = GrantWay::Call; // for services that do not name theirs
    Duration heartbeatInterval = 1s;     // of the upstreams
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

    void noteHeard(const std::string &reporter) { this->writerChoice.noteHeard(reporter); }
    void noteReport(const std::string &node, const wire::LoadReport &report, Time now);
    void noteHostChanged(Time now) { this->hostsChangedAt = now; }

private:
    struct Report
    {
        SessionReport content;
        Time at{};
    };

    // What a host said of its upstream, newer than its record in the store.
    struct HostStatus
    {
        UpstreamLife instance;
        std::uint32_t slots = 1;
        UpstreamPhase phase = UpstreamPhase::Absent;
        Time at{};
    };

    std::string writerNode(Time now) const;
    void noteHostStatus(const std::string &reporter, const wire::LoadReport &report, Time now);
    void report(const std::string &writer, Time now);
    void noteSessions(const KeyTable &table, Time now);
    void plan(Time now);
    void logEndedSessions(const PlanInput &input, const KeyTable &next) const;
    PlanInput makeInput(const KeyTable &table, Time now) const;
    void write(KeyTable table);
    void broadcastTable(const std::string &bytes, std::uint64_t end);

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
    std::map<std::uint64_t, Report> reports;        // by session
    std::map<std::string, HostStatus> hostStatuses; // by node
    WriterChoice writerChoice;
    Time reportedAt = -1h;
    Time plannedAt = -1h;
    Time balancedAt = -1h;
    Time hostsChangedAt{};
    Time writerSince{};
    std::string currentWriter; // node that writes the table, as this host sees it
    bool isWriting = false;
};

} // namespace kumquat
