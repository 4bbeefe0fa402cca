// The session of this process: appends Join, Peers, Leave and Released, a Fence of its own session
// if the lease is lost, and the Move, Bind and Unbind records that are requested.
#pragma once

#include "ownership/engine_context.h"
#include "ownership/handover.h"
#include "ownership/owner_lease.h"
#include "ownership/takeover.h"

#include <map>
#include <optional>
#include <vector>

namespace kumquat {

// Part of one engine; engine.h states the rules for times and threads.
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

    // Returns whether new requests are refused because the process drains.
    bool refusesRequests(Time now) const;

    // Returns whether an ended session of this node no longer serves requests.
    bool hasStoppedOwn(SessionId session, Time now) const;

private:
    void join(Time now);
    bool wantsJoin(Time now) const;
    Time joinDue() const;
    bool isSilent(const std::string &peer, Time now) const;
    void replacePeers(Time now);
    bool mustDelayPeers(const std::vector<std::string> &current,
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
    bool superseded = false; // a newer process of the same node has joined: do not join again
    Time drainStart{0};
    std::optional<Time> joinedAt;     // when the first Join was appended
    Time joinNotBefore = distantPast; // set after a session was fenced right after its Join
    Time nextPeerCheck{0};
    std::optional<Time> silentSince; // since when each check found a silent peer in the newest set
    Duration peersWindow{0}; // after losses, sessions distribute their Peers records over this time
    SessionId lastOwn = 0;   // newest session of this process, ended or not
};

} // namespace kumquat
