// Takeover of slots: collects proof that the earlier owners of this process's slots have stopped
// (section 3.3 of docs/design.md).
#pragma once

#include "ownership/engine_context.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kumquat {

// Part of one engine; engine.h states the rules for times and threads.
class Takeover
{
public:
    explicit Takeover(EngineContext &shared)
        : context(shared)
    {}

    // Processes the slots that a record changed, and a new or ended session of this process.
    void update(const ApplyResult &result, Time now);

    // Evaluates all slots again after a checkpoint replaced the state, or after the session of this
    // process changed.
    void updateAll(Time now);

    void onReleaseReply(const std::string &from, const wire::ReleaseReply &reply, Time now);
    void onHandover(const std::string &from, const wire::Handover &handover, Time now);

    void step(Time now);
    Time nextDue(Time now) const;

    // Returns whether every predecessor of a slot of this process is known to have stopped.
    bool isSettled(Slot slot, Epoch epoch) const
    {
        return slot < this->settled.size() && this->settled[slot] == epoch && epoch != 0;
    }

    // Implements OwnershipEngine::journalSessions().
    std::vector<SessionId> journalSessions(Slot slot) const;

    // Return whether this node, as a peer, has released a session, and whether a session of this
    // node has stopped serving. Set by the engine.
    std::function<bool(SessionId session, Time now)> tryRelease;
    std::function<bool(SessionId session, Time now)> hasStoppedOwn;

private:
    struct StopProof
    {
        std::set<std::string> releasedBy; // nodes that released it: peers or the session's own node
        Time requestDue = distantPast;    // next round of requests
        Duration interval{0};             // between the last two rounds
        bool complete = false;
        std::uint64_t checkedPass = 0; // pass in which the proof was last evaluated
        Time completeAt{0};
        std::optional<Duration> releasedDelay; // delay from completeAt to the append of Released

        void requestSoon(Time now)
        {
            this->requestDue = std::min(this->requestDue, now);
            this->interval = Duration(0);
        }
    };

    struct HandoverKey
    {
        Slot slot = 0;
        SessionId session = 0;
        Epoch epoch = 0;
        bool operator<(const HandoverKey &other) const
        {
            return std::tie(this->slot, this->session, this->epoch)
                   < std::tie(other.slot, other.session, other.epoch);
        }
    };

    void updateSlot(const std::string &service, Slot slot, Time now);
    bool hasStopped(Slot slot, const Predecessor &predecessor, Time now);
    bool checkProof(const Session &session, StopProof &proof, Time now);
    void settle(Time now);
    bool trySettle(Slot slot, Time now);
    bool findNewProof(Time now);
    void requestProofs(Time now);
    void requestReleases(const Session &session, StopProof &proof);
    void requestHandovers(const Session &session, StopProof &proof);
    Duration chooseReleasedDelay(SessionId ended) const;
    void appendReleased(Time now);
    void requestMissingReleases(Time now);

    EngineContext &context;
    SessionId ownSessionId = 0;
    std::string service;
    // By slot: the epoch for which all predecessors have stopped, 0: none.
    std::vector<Epoch> settled;
    std::set<Slot> unsettled;     // slots of this process with predecessors that may still serve
    std::set<SessionId> blockers; // predecessors that may still serve slots of this process
    std::map<SessionId, StopProof> proofs;
    std::set<HandoverKey> handovers; // handovers received
    std::uint64_t pass = 1;          // incremented when proofs must be evaluated again
    Time nextSweep{0};               // next search for ended sessions that lack Released
};

} // namespace kumquat
