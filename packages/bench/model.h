// Discrete-time model of servers, callers and links. It runs the placement code in virtual time.
//
// Sections: Strategy, ModelTimes, Result, Simulation.
#pragma once

#include "base/names.h"
#include "bench/trace.h"
#include "placement/policy.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::bench {

enum class Strategy : std::uint8_t {
    Rendezvous,   // highest hash of (session, slot), no moves
    NoHysteresis, // moves whenever the load is above the mean, without a rate limit or a pause
    Policy,       // PlacementPolicy
};

inline constexpr NameTable<Strategy, 3> strategyNames{{{{Strategy::Rendezvous, "rendezvous"},
                                                        {Strategy::NoHysteresis, "no-hysteresis"},
                                                        {Strategy::Policy, "policy"}}}};

// Times and sizes that the model assumes instead of computing them. The times are those of section
// 3 of the design page.
struct ModelTimes
{
    double handoverNear = 0.015; // s without an answer when a slot moves within a region
    double handoverFar = 0.045;  // s, between regions: 30 ms more for the Handover message
    // s more if the upstream is frozen: the longest deadline of a request in flight
    double handoverFrozen = 0.9;
    double detection = 1.0;      // s from a loss until the Fence is read
    double takeover = 0.3;       // s from reading the Fence until the slots are served
    double coldTime = 60;        // s until a new upstream has its full capacity
    double coldShare = 0.3;      // share of the full capacity that a cold upstream has at its start
    double requestBytes = 2'048; // request and answer together; counted on links between regions
    double messageBytes = 100;   // one LoadQuery or LoadReply on the wire
    double slotBytes = 10;       // one slot in a Move record
    double recordBytes = 60;     // log record without its slots
};

// Time above the target ratio outside the settling time after a shift, by the cause that kept the
// load at the peak server.
struct MissedTime
{
    double total = 0;      // s
    double withoutLog = 0; // s; the peak server could not reach the log to append a move
    double oneKey = 0;     // s; one key of the peak server alone exceeds the mean load
    double hotKeys = 0; // s; hot keys of the peak server exceed the target even without other load

    // Returns the causes whose time is not 0, as text.
    std::string describe() const;
};

// Measurements of one run, excluding the warm-up.
struct Result
{
    std::string trace;
    std::string service;
    Strategy strategy{};
    std::uint64_t seed = 0;
    double imbalanceP50 = 0;   // peak over mean
    double imbalanceWorst = 0; // peak over mean
    // s from the slowest shift until the ratio is at most 1.15; -1: never
    double settleWorst = 0;
    double settledWorst = 0; // worst peak over mean outside the 3 min after each shift
    double churnPerHour = 0; // share of all keys that change owner
    double unavailable = 0;  // key-seconds without an answer
    double done = 0;         // requests that ran and were answered
    double notRun = 0;       // requests refused or without an owner
    double unknown = 0;      // requests that a frozen upstream did not answer
    double regionBytes = 0;  // bytes of requests between regions
    double logAppends = 0;
    double controlBytes = 0;    // per node and second: load queries and log records
    double largestKeyShare = 0; // largest rate of one key over the mean load of a server
    MissedTime missed;
    std::vector<float> series; // peak over mean per step, for the plot

    // Returns as text whether the targets of section 8 of the design page apply and are met.
    std::string verdict() const;
    bool meetsTargets() const;
};

// One run of a trace. The same trace and strategy always give the same result.
//
//   Result result = Simulation(trace, Strategy::Policy, settings, times).run();
class Simulation
{
public:
    Simulation(const Trace &replayed, Strategy chosen, const PlacementSettings &placement,
               const ModelTimes &parameters);

    Result run();

private:
    static constexpr int noNode = -1;

    struct Node
    {
        std::uint32_t region = 0;
        std::uint32_t dataCentre = 0;
        bool isAlive = true;
        bool isFrozen = false;
        double fenceDue = 0; // s; time from which the slots of a lost node are reassigned
        bool isFenced = false;
        double joinedAt = 0; // s
        std::uint64_t session = 0;
        std::vector<Slot> slots;
        std::optional<PlacementPolicy> policy;
        std::optional<SlotRates> rates;         // only with Strategy::NoHysteresis
        std::array<double, regionCount> load{}; // requests/s by region of the callers
    };

    // A key whose requests are modelled individually: one of the most frequent keys or a hot key.
    struct Key
    {
        std::uint64_t hash = 0;
        std::uint32_t region = 0;
        std::uint32_t hemisphere = 0;
        double baseRate = 0; // requests/s
        Slot slot = 0;       // hashed or dedicated
        double rate = 0;     // requests/s now
        std::vector<HotPhase> phases;
    };

    // The server with the highest load, and the mean load of the servers on its side of a
    // network partition.
    struct Peak
    {
        double ratio = 1; // peak over mean
        double mean = 0;  // requests/s
        int node = noNode;
    };

    // Set-up (model.cpp).
    void makeLoad();
    void startNodes();
    void startSession(int node, double time);

    // Ownership (model.cpp).
    void assign(Slot slot, int node, SlotGain gain);
    void reassign(int lost);
    int chooseOwner(Slot slot, std::uint32_t preferredRegion) const;
    void applyEvents(double from, double to);
    void applyEvent(const Event &event);
    void fenceLostNodes();
    void rebuildSlots();
    bool reaches(std::uint32_t first, std::uint32_t second) const;
    bool canReachLog(const Node &node) const;

    // One step (step.cpp).
    void updateRates();
    void updateBackground();
    void drawCounts();
    double reachableRate(Slot slot) const;
    bool reachesOwner(std::uint32_t region, Slot slot) const;
    void runPolicies();
    void publishViews();
    void queryLoads(int sender, const QueryLoad &query);
    void applyDecision(int node, const PlacementDecision &decision);
    void applyMove(int node, const MoveSlots &move);
    void applyBind(int node, const BindKey &bind);
    void applyUnbind(const UnbindKey &unbind);
    void runNoHysteresis();
    void measure();
    Peak findPeak();
    bool isSettling(double at) const;
    void noteMiss(const Peak &peak);
    void measureRequests(const Node &node);
    double unservedRequests(const Node &node);
    double loadOf(const Node &node) const;
    double capacityOf(const Node &node) const;
    int findNode(std::uint64_t session) const;
    void countAppend(double bytes);
    Result summarise();

    Time now() const;
    bool isMeasured() const { return this->time >= this->trace.warmUp; }

    const Trace &trace;
    Strategy strategy;
    PlacementSettings settings;
    ModelTimes times;
    Random random;
    double time = 0; // s
    std::vector<Node> nodes;
    std::uint64_t nextSession = 1;
    bool logUp = true;
    std::array<bool, regionCount> isIsolated{};

    using Rates = std::vector<double>; // per slot
    // requests/s without the tracked keys
    std::array<std::array<Rates, hemisphereCount>, regionCount> baseRates;
    std::array<Rates, regionCount> background; // baseRates times the factor of the load profile
    std::vector<Poisson> arrivals; // requests of a step per slot, without the tracked keys
    std::vector<Key> keys;
    std::vector<std::uint32_t> counts; // requests per slot in this step
    std::vector<int> owners;           // node per slot
    std::vector<double> unservedUntil; // s, per slot
    double allServedFrom = 0;          // s, the latest of unservedUntil
    std::vector<BindingView> bindings;
    bool ownersChanged = true;
    LoadMeter meter;
    double meanLoad = 0; // requests/s, over all live nodes
    Result result;
    double keysMoved = 0;
};

} // namespace kumquat::bench
