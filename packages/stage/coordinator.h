// Writes the key table of one service. Every host of the service runs a coordinator. The first
// reachable host in a hashed order is the table writer, and the others send reports to it. Two
// writers at the same time do no harm: the store accepts a table only if it was derived from the
// newest one.
//
// Sections: hooks, Coordinator.
#pragma once

#include "keyspace/range_planner.h"
#include "platform/store.h"
#include "stage/cluster_view.h"
#include "stage/host_reach.h"
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
    std::function<wire::LoadReport()> makeReport; // report of this host, without key counts
    std::function<std::map<ShardKey, std::uint32_t>()> takeKeyCounts;
    // Called with how far another process has read, by its answer to a call made at `askedAt`.
    std::function<void(const std::string &node, const wire::Known &known, Time askedAt)>
            knownReceived;
    // Appends a key table to the store if the key tables there end at `expectedEnd`. Called on a
    // fiber.
    std::function<platform::AppendResult(const std::string &bytes, std::uint32_t era,
                                         std::uint64_t expectedEnd)>
            append;
    std::function<void()> tablesOutdated; // the store has records that this host has not read
    std::function<void(const wire::StateReply &update)> broadcast; // sends new state to all hosts
};

struct CoordinatorSettings
{
    Duration reportInterval = 400ms;
    Duration planInterval = 200ms;
    Duration balanceInterval = 1s;
    Duration reportTimeout = 900ms; // then the next host in the order becomes the writer
    Duration unreachableAfter = 2s; // silence of a host that is down or owes a report
    // Delay of advance() after which this process was paused: reports may wait to be read.
    Duration maxPause = 1s;
    // Time without a change of hosts before the first table is written. The writer may be a
    // temporary relay, which pauses between reads; without this time it would assign all keys to
    // the few hosts that it knows.
    Duration settlePeriod = RelayChoiceSettings{}.temporaryRelayPause + 300ms;
    Duration hostStatusTimeout = 2s;       // then the host's record in the store counts again
    Duration loadDecayTime = 3s;           // in which the weight of a request falls to 1/e
    GrantMode grantMode = GrantMode::Call; // for services without a configured mode
    Duration heartbeatInterval = 1s;       // of the upstreams
    // Time after an evacuation in which the sessions of the data centre get keys by degrees; their
    // upstreams are cold for some seconds of it.
    Duration returnPeriod = 15s;
    PlannerSettings planner;
};

// ---- Coordinator ----

// Used on one thread.
class Coordinator
{
public:
    Coordinator(FiberThread &coordinatorThread, const std::string &ownNode,
                const std::string &ownService, ClusterView &clusterView, LinkPool &linkPool,
                Metrics &stageMetrics, CoordinatorHooks coordinatorHooks,
                CoordinatorSettings coordinatorSettings = {});

    // Call every 100 ms.
    void advance(Time now);

    // Makes the next call of advance() send a report. Call after a change of this host.
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

    // Status of a host's upstream according to its reports, which are newer than its record in the
    // store.
    struct HostStatus
    {
        UpstreamInstance instance;
        std::uint32_t slots = 1;
        std::uint32_t usableSlots = 0;
        UpstreamPhase phase = UpstreamPhase::Absent;
        bool isStopping = false; // the process on the host is shutting down
        Time at{};
    };

    std::string writerNode(Time now) const;
    void noteHostStatus(const std::string &reporter, const wire::LoadReport &report, Time now);
    void report(const std::string &writer, Time now);
    void noteSessions(const KeyTable &table, Time now);
    void plan(Time now);
    bool mayPlan(const KeyTable *current, Time now);
    std::optional<KeyTable> planNext(const KeyTable &base, Time now);
    void logEndedSessions(const PlanInput &input, const KeyTable &next) const;
    void logLostVoters(const KeyTable &before, const KeyTable &next) const;
    bool isReachable(const HostInfo &info, Time now);
    PlanInput makeInput(const KeyTable &table, Time now);
    void write(KeyTable table);
    void broadcastTable(const std::string &bytes, std::uint64_t end);

    FiberThread &thread;
    std::string node;
    std::string service;
    ClusterView &view;
    LinkPool &links;
    Metrics &metrics;
    CoordinatorHooks hooks;
    CoordinatorSettings settings;
    KeyLoad load;
    std::map<std::uint64_t, Report> reports;        // by session
    std::map<std::string, HostStatus> hostStatuses; // by node
    WriterChoice writerChoice;
    HostReach reach;
    Time reportedAt = -1h;
    Time plannedAt = -1h;
    Time balancedAt = -1h;
    Time hostsChangedAt{};
    Time writerSince{};
    Time advancedAt = -1h;
    Time listeningSince{};     // start of the time in which reports of other hosts are expected
    std::string currentWriter; // node that this host considers to be the table writer
    bool isWriting = false;
    std::uint32_t awaitedEra = 0; // for whose first table the log says that this host waits
};

} // namespace kumquat
