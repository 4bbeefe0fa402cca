// Traces of ownership: engines of one user with a stand-in for the log and for the links.
//
// Sections: EngineTrace, EngineResult, EngineWorld.
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
    LostInLogOutage, // the log is down for a minute, and one process ends in the middle
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
    double logRate = 0; // appends/s that the log takes, 0: any number
};

// Returns every fault for both users at the sizes of today.
std::vector<EngineTrace> makeEngineTraces(std::uint64_t seed);

// Returns the loss of a data centre with a log that takes as many appends per node as one that
// takes 300/s from 550 nodes.
EngineTrace makeBusyLogTrace(int nodes, std::uint64_t seed);

// --- EngineResult ---

struct EngineResult
{
    std::string user;
    EngineFault fault{};
    int nodes = 0;
    std::size_t lostSlots = 0;
    std::size_t unserved = 0;    // lost slots that are not served again at the end
    double servedMedian = 0;     // s from the loss until a slot is served again
    double servedWorst = 0;      // s
    double survivorsStopped = 0; // s, longest gap of a sampled slot whose owner was not lost
    double servedAfterLog = 0;   // s from the return of the log, 0 without an outage
    std::size_t appends = 0;     // log records from the fault on
    double steadyBytes = 0;      // control bytes sent per node and second before the fault
    double faultBytes = 0;       // the same in the 10 s after the fault
    double faultBytesWorst = 0;  // of the node that sends most

    // Returns whether all slots were served within 2 s of the loss, or of the log's return.
    bool meetsTarget() const;
};

// Returns a table with a row per result.
std::string formatEngineTable(const std::vector<EngineResult> &results);

// --- EngineWorld ---

// Runs the engines in virtual time. The same trace always gives the same result.
//
//   EngineResult result = EngineWorld(trace).run();
class EngineWorld
{
public:
    explicit EngineWorld(EngineTrace replayed);

    EngineResult run();

private:
    struct Node
    {
        std::unique_ptr<OwnershipEngine> engine; // nullptr: lost
        std::string service;
        int region = 0;
        int dataCentre = 0;
        double bytes = 0; // control bytes sent since the last reset
        Time nextTick{};
        bool isPolling = false; // a poll waits at the log
        bool hasAnswer = false; // the log answered the last poll; the first one never waits
        Time pollAsked{};
    };

    struct Event
    {
        Time at{};
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    struct LostSlot
    {
        std::string service;
        Slot slot = 0;
    };

    // A slot of an owner that goes on.
    struct SampledSlot
    {
        LostSlot slot;
        Time servedAt{}; // last time
    };

    void at(Time when, std::function<void()> act);
    void runUntil(Time end);
    void start(int node);
    void take(int node);
    void scheduleTick(int node);
    void send(int from, const OutgoingMessage &message);
    void append(int node, const wire::LogRecord &record);
    void accept(const wire::LogRecord &record);
    void poll(int node);
    void answerPoll(int node);
    void failPoll(int node);
    void spreadSlots();
    void injectFault();
    void lose(int node);
    void checkServed();
    void sampleSurvivors();
    void checkSurvivors();
    bool isServed(const LostSlot &lost) const;
    Duration delayBetween(int from, int to) const;
    Duration delayToLog(int node) const;
    void resetBytes();
    double bytesPerSecond(Duration span, double &worst) const;

    EngineTrace trace;
    Random random;
    Time now = 1s;
    std::uint64_t orders = 0;
    std::priority_queue<Event> events;
    std::vector<Node> nodes;
    std::vector<wire::LogRecord> log;
    bool logUp = true;
    Time logFree{}; // the log has taken all appends that arrived
    Time lostAt{};
    std::vector<LostSlot> lostSlots; // not served again yet
    std::vector<double> servedAfter; // s
    std::vector<SampledSlot> sampled;
    double longestStop = 0; // s, of a sampled slot
};

} // namespace kumquat::bench
