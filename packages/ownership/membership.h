// The own session: Join, Peers, Leave, Released, and the records that operators ask for.
#pragma once

#include "ownership/engine_context.h"
#include "ownership/handover.h"
#include "ownership/owner_lease.h"
#include "ownership/takeover.h"

#include <map>
#include <optional>
#include <vector>

namespace kumquat {

// Belongs to one engine; see engine.h for times and threads.
class Membership
{
public:
    Membership(EngineContext &shared, OwnerLease &ownLease, Takeover &ownTakeover,
               HandoverSender &ownHandover)
        : context(shared)
        , lease(ownLease)
        , takeover(ownTakeover)
        , handover(ownHandover)
    {}

    void update(const ApplyResult &result, Time now);
    void setUpstream(const std::optional<UpstreamInfo> &info);
    void requestDrain(Time now);
    void requestMove(const std::vector<Slot> &slots, SessionId target, Time now);
    void requestBind(std::uint64_t keyHash, Time now);
    void requestUnbind(std::uint64_t keyHash, Time now);

    void step(Time now);
    Time nextDue(Time now) const;

    bool isDraining() const { return this->draining; }
    bool isDrained() const { return this->drained; }

    // Returns whether new requests are refused because the process leaves.
    bool refusesRequests(Time now) const;

    // Returns whether an own session that ended serves nothing any more.
    bool hasStoppedOwn(SessionId session, Time now) const;

private:
    void join(Time now);
    bool wantsJoin(Time now) const;
    Time joinDue() const;
    bool isSilent(const std::string &peer, Time now) const;
    void replacePeers(Time now);
    bool waitsForTurn(const std::vector<std::string> &current,
                      const std::vector<std::string> &silent, Time now);
    void releaseOwn(Time now);
    void drain(Time now);
    bool hasLostLease(const Session &own, Time now) const;
    void leaveWithoutLease(Time now);

    EngineContext &context;
    OwnerLease &lease;
    Takeover &takeover;
    HandoverSender &handover;
    std::optional<UpstreamInfo> upstream;
    bool draining = false;
    bool drained = false;
    bool superseded = false; // another process of the same name has joined: do not compete
    Time drainStart{0};
    std::optional<Time> joinedAt; // first Join appended
    Time joinNotBefore = longAgo; // after a session that was fenced at once
    Time nextPeerCheck{0};
    std::optional<Time> silentSince; // a peer of the newest set is silent at each check since then
    Duration peersWindow{0};         // survivors of the present losses spread Peers over this time
    SessionId lastOwn = 0;           // newest session of this process, ended or not
};

} // namespace kumquat
