// The lease of this process's session: sends rounds of Renew to the peers and counts their grants.
#pragma once

#include "ownership/engine_context.h"

#include <deque>
#include <map>
#include <string>

namespace kumquat {

// Part of one engine; engine.h states the rules for times and threads.
class OwnerLease
{
public:
    explicit OwnerLease(EngineContext &shared)
        : context(shared)
    {}

    // Processes a state change: a new session, its end, or a new or settled peer set.
    void update(Time now);

    void onGrant(const std::string &from, const wire::Grant &grant, Time now);
    void setJournalComplete(const std::string &peer, std::uint64_t incarnation);

    // Sends a round of Renew if one is due, and settles a new peer set that can replace the older
    // ones.
    void step(Time now);
    Time nextDue(Time now) const;

    // Returns the end of the lease, at most one lease after `now`.
    Time leaseEnd(Time now) const;

    // Returns the end of the last lease of an ended session of this process, or `never` if unknown.
    Time finalLeaseEnd(SessionId session) const;

    // Returns the time of the last Grant of a peer, or the time at which it became a peer if there
    // is no Grant yet. Returns `distantPast` for a node that is no peer.
    Time lastGrantAt(const std::string &peer) const;
    std::uint64_t incarnationOf(const std::string &peer) const;
    bool isJournalComplete(const std::string &peer) const;

    SessionId currentSession() const { return this->session; }
    Time sessionReadAt() const { return this->sessionReadTime; }
    Time peersReadAt() const { return this->peersChangedAt; }

private:
    struct PeerLink
    {
        Time since{0};                 // when the node became a peer
        Time lastGrant{0};             // last Grant; initially `since`
        Time leaseStart = distantPast; // start of the newest granted lease
        std::uint64_t incarnation = 0;
        std::uint64_t journalIncarnation = 0; // incarnation with a complete journal; 0: none
    };

    void begin(const Session &own, Time now);
    void end(Time now);
    void refreshLease();
    void sendRound(Time now);
    bool isUsable(const PeerSet &set, Time now) const;
    void settlePeers(Time now);

    EngineContext &context;
    SessionId session = 0;
    Time sessionReadTime{0};
    Time peersChangedAt{0};
    std::uint32_t generation = 0;    // of the newest peer set
    std::uint32_t minGeneration = 0; // older sets no longer give leases
    Time settleNotBefore{0};         // earliest time of the append of PeersSettled
    bool unlimited = false;          // a counted set has no peers, so no grants are needed
    Time leaseUntil = distantPast;   // end of the lease, unless unlimited
    std::uint64_t sequence = 0;
    Time nextRound{0};
    // Sequence numbers and sending times of the last rounds, newest last.
    std::deque<std::pair<std::uint64_t, Time>> sent;
    std::map<std::string, PeerLink> peerLinks; // by peer
    std::map<std::string, Time> replaced; // peers of replaced sets, with the end of Renew to them
    std::map<SessionId, Time> finalLeaseEnds;
};

} // namespace kumquat
