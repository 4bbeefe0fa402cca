// Random scenarios of a whole service in virtual time: hosts that freeze, lose messages or restart,
// upstreams that answer late or not at all, a store that is unavailable. The planner, the holders
// and the leases are the production code; the rest is a model.
//
// After each tick the model checks that no two upstreams hold a key at once.
#pragma once

#include "ownership_model_parts.h"

#include <functional>
#include <random>

namespace kumquat {

// Keys between two whose fences are checked.
constexpr ShardKey fenceStep = 1024;

class OwnershipModel
{
public:
    OwnershipModel(unsigned seed, Guards modelGuards, GrantMode modelGrantMode = GrantMode::Call,
                   Faults modelFaults = Faults::Passing);

    // Loses a host for good, with its process and its upstream.
    void lose(int host) { this->gone[host] = true; }

    // Stops the process of a host for a time; its upstream goes on.
    void freeze(int host, Duration length) { this->frozenUntil[host] = this->now + length; }

    // The store comes back from a copy without the last `count` tables.
    void rollBack(std::size_t count);

    // The next table that the first host plans is appended only `delay` later, as by a writer that
    // is frozen between its decision and the call.
    void delayAppend(Duration delay) { this->appendDelay = delay; }

    // The store comes back from a copy that ends where the delayed append expects it to end.
    void rollBackToDelayedAppend();

    // Cuts a host off from the store and all other hosts.
    void cut(int host, Duration length) { this->cutUntil[host] = this->now + length; }

    std::uint32_t lateTables() const { return this->lateTableCount; }

    // Runs the scenario. Returns a description of the first violation, or an empty string.
    std::string run(Duration length);

    // Injects no more faults. Hosts that are frozen or cut off recover within 5 s.
    void endFaults() { this->faults = Faults::None; }

    // Runs on and returns the number of keys that some upstream holds at any time of `length`. Keys
    // that move are not held for a moment.
    std::uint32_t heldKeysWithin(Duration length);

    // Number of keys that some upstream holds at the end.
    std::uint32_t heldKeys() const;

private:
    // Scenario.
    void addHeldKeys(std::vector<bool> &isHeld) const;
    bool chance(double share);
    Duration between(Duration minimum, Duration maximum);
    std::string nameOf(int host) const { return std::string(1, static_cast<char>('a' + host)); }
    int indexOf(const std::string &node) const { return node[0] - 'a'; }
    bool isAwake(int host) const;
    bool isApart(int host) const { return this->now < this->apartUntil[host]; }
    bool isLinked(int a, int b) const;
    bool reachesStore(int host) const;
    void schedule(Duration delay, std::function<void()> work);
    void runScheduled();

    // Faults.
    void injectFaults();
    void injectLastingFaults();
    void restart(int host);

    // Instances of upstreams, and wall clocks.
    std::int64_t wallMs(int host) const;
    void injectClockFaults(int host);
    void crashUpstream(int index);
    void reportInstance(int index);
    void noteInstance(int index, const UpstreamInstance &instance, int number);
    void forgetEarlierGrants(ModelHost &host) const;
    bool ownsSession(int index, const KeySession &session) const;

    // Check.
    void check();
    std::vector<ModelUpstream::Hold> allHolds(int index) const;
    void findOverlap(int a, int b);

    // Store, planning and reading.
    std::uint64_t storeEnd() const { return storePosition(this->storeEra, this->log.size()); }
    void noteNewest();
    void append(const KeyTable &table);
    void checkFences(const KeyTable &table);
    void planTable();
    void readStore(int index);
    void noteRead(ModelHost &host, Time asOf, std::uint32_t era, std::uint64_t end) const;
    void deliverTable(int index, const KeyTable &table, std::uint32_t era);
    bool takeTable(ModelHost &host, const KeyTable &table) const;

    // Hosts and leases.
    void advance(int index);
    Time leaseEnd(const ModelHost &host) const;
    void renew(int index);
    void collectProofs(int index);
    void askFormerHost(int index, const MissingProof &missing, const KeySession &former);

    // Orders.
    void send(int index, const HoldOrder &decided);
    void sendLate(int index, const HoldOrder &decided, const ModelHost *sender);
    void sendNow(int index, const HoldOrder &order);
    void finish(int index, const HoldOrder &order, bool isLost);

    // Heartbeats.
    void advanceUpstream(int index);
    Duration delay();
    void deliver(int index, const ModelUpstream::Heartbeat &heartbeat);
    void applyAnswer(int index, const ModelUpstream::Heartbeat &heartbeat,
                     const std::optional<HoldAnswer> &answer);

    std::mt19937 random;
    Guards guards;
    GrantMode grantMode;
    Faults faults;
    bool upstreamsRestart; // processes learn from heartbeats which instance of the upstream runs
    Time now = 100s;
    Time plannedAt{};
    Time storeDownUntil{};
    KeyLoad load;
    KeyTable stored = KeyTable::createEmpty("testlog"); // what a reader of the store gets
    std::vector<KeyTable> log;                          // the store's records by offset
    std::uint32_t storeEra = 0;
    Duration appendDelay{};
    std::size_t delayedOffset = 0;    // at which the delayed append is to be carried out
    std::uint32_t lateTableCount = 0; // appended after a rollback that their writer did not know
    std::map<ShardKey, std::pair<std::uint64_t, std::uint64_t>> lastFences; // owner and fence
    std::vector<std::unique_ptr<ModelHost>> hosts;
    std::vector<ModelUpstream> upstreams;
    std::vector<Time> frozenUntil;
    std::vector<Time> cutUntil;
    std::vector<Time> apartUntil;       // cut off together with the other hosts for which it is set
    std::vector<bool> gone;             // lost for good
    std::vector<Duration> clockOffsets; // of the wall clock of each host
    std::map<int, Time> evacuatedUntil;
    std::map<int, Time> heardAt;
    std::map<int, Time> reachedAt;
    std::multimap<Time, std::function<void()>> scheduled;
    std::string violation;
};

} // namespace kumquat
