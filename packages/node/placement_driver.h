// Runs the placement policy of the own session once a second on the control thread.
#pragma once

#include "net/fibers.h"
#include "node/ownership_driver.h"
#include "placement/policy.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

struct PlacementDriverSettings
{
    std::string node;
    std::string region;
    double weightUnavailable = 0.5;
    std::uint64_t seed = 0;
};

struct PlacementDriverHooks
{
    std::function<void(const std::string &node, wire::MeshMessage &&message)> send;
    std::function<double()> readUtilisation; // 0 to 1
};

class PlacementDriver
{
public:
    PlacementDriver(OwnershipDriver &driver, PlacementDriverSettings settings,
                    PlacementDriverHooks hooks);

    // Counts a served request. Any thread.
    void count(Slot slot, std::uint64_t keyHash);

    // ---- control thread ----

    // Follows the log, asks for loads and requests moves; call once a second.
    void advance(Time now);

    // Takes LoadQuery and LoadReply; returns false for any other message.
    bool receive(const wire::MeshMessage &message, Time now);

    // Returns requests/s of the own slots over the last seconds.
    double load(Time now) const;

private:
    // What the policy needs of the replayed log.
    struct View
    {
        SessionId session = 0;
        std::string service;
        std::vector<SessionView> sessions;
        std::vector<BindingView> bindings;
        std::vector<std::pair<Slot, SlotGain>> own; // ascending by slot
    };

    View readView(Time now);
    void followSlots(const View &view, Time now);
    void carryOut(const PlacementDecision &decision);
    void ask(const QueryLoad &decision);
    void requestMove(const MoveSlots &decision);
    void requestUnbind(const UnbindKey &decision);

    OwnershipDriver &driver;
    PlacementDriverSettings settings;
    PlacementDriverHooks hooks;
    std::optional<PlacementPolicy> policy;
    SessionId policySession = 0;
    std::string service;
    std::vector<Slot> ownSlots;          // as told to the policy, ascending
    std::map<SessionId, Time> seenSince; // when a session was first seen here
    std::vector<BindingView> bindings;
    std::mutex meterMutex; // guards meter; a leaf lock
    LoadMeter meter;
};

} // namespace kumquat
