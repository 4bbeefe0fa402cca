// Runs the placement policy for the session of this process, once a second on the control thread.
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

    // Counts a served request. Callable from any thread.
    void count(Slot slot, std::uint64_t keyHash);

    // ---- control thread ----

    // Updates the policy from the replayed state and carries out its decisions. Call once a second.
    void advance(Time now);

    // Handles LoadQuery and LoadReply messages. Returns false for any other message.
    bool receive(const wire::MeshMessage &message, Time now);

    // Returns the requests/s of the slots that this process owns, over the last seconds.
    double load(Time now) const;

private:
    // The part of the replayed state that the policy needs.
    struct View
    {
        SessionId session = 0;
        std::string service;
        std::vector<SessionView> sessions;
        std::vector<BindingView> bindings;
        std::vector<std::pair<Slot, SlotGain>> own; // slots of this session, ascending
    };

    View readView(Time now);
    void updateSlots(const View &view, Time now);
    void carryOut(const PlacementDecision &decision);
    void sendLoadQueries(const QueryLoad &decision);
    void requestMove(const MoveSlots &decision);
    void requestUnbind(const UnbindKey &decision);

    OwnershipDriver &driver;
    PlacementDriverSettings settings;
    PlacementDriverHooks hooks;
    std::optional<PlacementPolicy> policy;
    SessionId policySession = 0;
    std::string service;
    std::vector<Slot> ownSlots;          // slots of this session that the policy knows, ascending
    std::map<SessionId, Time> firstSeen; // when this process first saw a session
    std::vector<BindingView> bindings;
    std::mutex meterMutex; // guards meter; no other lock is taken while it is held
    LoadMeter meter;
};

} // namespace kumquat
