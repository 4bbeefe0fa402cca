// Fault traces for the ownership engines of one deployment. The log service and the network links
// are simulated.
//
// Sections: EngineTrace, EngineResult, EngineSimulation.
#pragma once

#include "base/names.h"
#include "bench/trace.h"
#include "ownership/engine.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::bench {

// --- EngineTrace ---

enum class EngineFault : std::uint8_t {
    OwnerLost,       // one process ends
    DataCentreLost,  // all processes of one data centre end
    LostInLogOutage, // the log is down for a minute, and one process ends after 20 s of it
};

inline constexpr NameTable<EngineFault, 3> engineFaultNames{
        {{{EngineFault::OwnerLost, "owner-lost"},
          {EngineFault::DataCentreLost, "data-centre-lost"},
          {EngineFault::LostInLogOutage, "lost-in-log-outage"}}}};

struct ServiceSize
{
    std::string name;
    int endpoints = 0;
};

struct EngineTrace
{
    std::string user;
    std::vector<ServiceSize> services;
    Duration betweenDataCentres = 1ms; // one way
    Duration betweenRegions = 30ms;    // one way
    EngineFault fault{};
    std::uint64_t seed = 0;
    double logRate = 0; // appends/s that the log accepts; 0: unlimited
};

// Returns a trace of every fault for both deployments, teranga and sahya, at their current sizes.
std::vector<EngineTrace> makeEngineTraces(std::uint64_t seed);

// Returns a trace in which a data centre is lost while the log is slow. The log accepts as many
// appends/s per node as a log that accepts 300 appends/s from 550 nodes.
EngineTrace makeBusyLogTrace(int nodes, std::uint64_t seed);

// --- EngineResult ---

struct EngineResult
{
    std::string user;
    EngineFault fault{};
    int nodes = 0;
    std::size_t lostSlots = 0;
    std::size_t unserved = 0; // lost slots that are still not served at the end
    double servedMedian = 0;  // s from the loss until a slot is served again
    double servedWorst = 0;   // s
    // s; longest time without service of a sampled slot whose owner was not lost
    double maxSurvivorGap = 0;
    // s from the end of the log outage until all lost slots are served; 0 without an outage
    double servedAfterLog = 0;
    std::size_t appends = 0; // log records after the fault
    double steadyBytes = 0;  // control bytes sent per node and second before the fault
    // control bytes sent per node and second in the 10 s after the fault or log outage
    double faultBytes = 0;
    double faultBytesWorst = 0; // faultBytes of the node that sends the most

    // Returns whether all lost slots were served within 2 s of the loss, or of the end of the log
    // outage, and no sampled slot of a surviving owner was without service for more than 2 s.
    bool meetsTarget() const;
};

// Returns a table with a row per result.
std::string formatEngineTable(const std::vector<EngineResult> &results);

// --- EngineSimulation ---

// Runs the engines in virtual time. The same trace always gives the same result.
//
//   EngineResult result = EngineSimulation(trace).run();
class EngineSimulation
{
public:
    explicit EngineSimulation(EngineTrace replayed);

    EngineResult run();

private:
    struct Node
    {
        std::unique_ptr<OwnershipEngine> engine; // nullptr: the node is lost
        std::string service;
        int region = 0;
        int dataCentre = 0;
        double bytes = 0; // control bytes sent since the last reset
        Time nextTick{};
        bool isPolling = false; // a long poll is waiting at the log
        bool hasAnswer = false; // the log answered the last poll; else the next poll does not wait
        Time lastPollSentAt{};
    };

    struct Event
    {
        Time at{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(this->at, this->sequence);
        }
    };

    struct ServiceSlot
    {
        std::string service;
        Slot slot = 0;
    };

    // A slot whose owner is not lost.
    struct SampledSlot
    {
        ServiceSlot slot;
        Time servedAt{}; // last time at which it was served
    };

    void schedule(Time when, std::function<void()> action);
    void runUntil(Time end);
    void start(int node);
    void processOutput(int node);
    void scheduleTick(int node);
    void send(int from, const OutgoingMessage &message);
    void append(int node, const wire::LogRecord &record);
    void storeRecord(const wire::LogRecord &record);
    void poll(int node);
    void answerPoll(int node);
    void failPoll(int node);
    void distributeSlots();
    void injectFault();
    void loseNode(int node);
    void checkServed();
    void sampleSurvivors();
    void checkSurvivors();
    bool isServed(const ServiceSlot &slot) const;
    Duration delayBetween(int from, int to) const;
    Duration delayToLog(int node) const;
    void resetBytes();
    double bytesPerSecond(Duration span, double &worst) const;

    EngineTrace trace;
    Random random;
    Time now = 1s;
    std::uint64_t lastSequence = 0;
    std::priority_queue<Event> events;
    std::vector<Node> nodes;
    std::vector<wire::LogRecord> log;
    bool logUp = true;
    Time logBusyUntil{}; // time at which the log has stored all appends that arrived
    Time lostAt{};
    std::vector<ServiceSlot> lostSlots; // not served again yet
    std::vector<double> servedAfter;    // s
    std::vector<SampledSlot> sampledSlots;
    double maxServiceGap = 0; // s, longest time without service of a sampled slot
};

} // namespace kumquat::bench
