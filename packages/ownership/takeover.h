// Proof that the predecessors of own slots have stopped (section 3.3).
#pragma once

#include "ownership/engine_context.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kumquat {

// Belongs to one engine; see engine.h for times and threads.
class Takeover
{
public:
    explicit Takeover(EngineContext &shared)
        : context(shared)
    {}

    // Follows slots that a record changed, and the end of the own session.
    void update(const ApplyResult &result, Time now);

    // Follows a state that was replaced by a checkpoint.
    void updateAll(Time now);

    void onReleaseReply(const std::string &from, const wire::ReleaseReply &reply, Time now);
    void onHandover(const std::string &from, const wire::Handover &handover, Time now);

    void step(Time now);
    Time nextDue(Time now) const;

    // Returns whether every predecessor of an own slot is known to have stopped.
    bool isSettled(Slot slot, Epoch epoch) const
    {
        return slot < this->settled.size() && this->settled[slot] == epoch && epoch != 0;
    }

    std::vector<SessionId> journalSessions(Slot slot) const;

    // Whether this node released a session as its peer, or stopped one of its own; set by the
    // engine.
    std::function<bool(SessionId session, Time now)> tryRelease;
    std::function<bool(SessionId session, Time now)> hasStoppedOwn;

private:
    struct Proof
    {
        std::set<std::string> releasedBy; // peers, and the session's own node
        Time askDue = longAgo;            // next round of requests
        Duration interval{0};             // between the last two rounds
        bool complete = false;
        std::uint64_t checked = 0; // last pass that looked at the replies
        Time completeAt{0};
        std::optional<Duration> releasedWait; // from completeAt to the append of Released

        void askSoon(Time now)
        {
            this->askDue = std::min(this->askDue, now);
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

    void followSlot(const std::string &service, Slot slot, Time now);
    bool hasStopped(Slot slot, const Predecessor &predecessor, Time now);
    bool isProven(const Session &session, Proof &proof, Time now);
    void settle(Time now);
    bool trySettle(Slot slot, Time now);
    bool findNewProof(Time now);
    void askBlockers(Time now);
    void askReleases(const Session &session, Proof &proof);
    void askHandovers(const Session &session, Proof &proof);
    Duration chooseReleasedWait(SessionId ended) const;
    void appendReleased(Time now);
    void askUnreleased(Time now);

    EngineContext &context;
    SessionId own = 0;
    std::string service;
    std::vector<Epoch> settled;   // by slot: the epoch with complete proof, 0: none
    std::set<Slot> unsettled;     // own slots without complete proof
    std::set<SessionId> blockers; // predecessors that keep own slots from being settled
    std::map<SessionId, Proof> proofs;
    std::set<HandoverKey> handovers; // received
    std::uint64_t pass = 1;          // grows whenever replies may prove more than before
    Time nextSweep{0};               // for sessions that are stopped here but not in the log
};

} // namespace kumquat
