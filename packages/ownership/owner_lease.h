// The lease of the own session: rounds of Renew to the peers and the grants they return.
#pragma once

#include "ownership/engine_context.h"

#include <deque>
#include <map>
#include <string>

namespace kumquat {

// Belongs to one engine; see engine.h for times and threads.
class OwnerLease
{
public:
    explicit OwnerLease(EngineContext &shared)
        : context(shared)
    {}

    // Follows the state after a record: a new session, its end, a new or settled peer set.
    void update(Time now);

    void onGrant(const std::string &from, const wire::Grant &grant, Time now);
    void setJournalComplete(const std::string &peer, std::uint64_t incarnation);

    // Sends a round of Renew if one is due, and settles a new peer set if it can be used alone.
    void step(Time now);
    Time nextDue(Time now) const;

    // Returns the end of the lease, at most one lease after `now`.
    Time leaseEnd(Time now) const;

    // Returns the end of the last lease of an own session that ended, `never` if unknown.
    Time finalLeaseEnd(SessionId session) const;

    // Returns the time of the last Grant of a peer, at least the time since it was asked.
    Time answeredAt(const std::string &peer) const;
    std::uint64_t incarnationOf(const std::string &peer) const;
    bool isJournalComplete(const std::string &peer) const;

    SessionId currentSession() const { return this->session; }
    Time sessionReadAt() const { return this->beganAt; }
    Time peersReadAt() const { return this->peersChangedAt; }

private:
    struct Link
    {
        Time asked{0};              // first Renew
        Time answered{0};           // last Grant, at first `asked`
        Time grantedFrom = longAgo; // from where the newest lease counts
        std::uint64_t incarnation = 0;
        std::uint64_t journalIncarnation = 0; // that holds a complete journal; 0: none
    };

    void begin(const Session &own, Time now);
    void end(Time now);
    void refreshLease();
    void sendRound(Time now);
    bool isUsable(const PeerSet &set, Time now) const;
    void settlePeers(Time now);

    EngineContext &context;
    SessionId session = 0;
    Time beganAt{0};
    Time peersChangedAt{0};
    std::uint32_t generation = 0;    // newest set
    std::uint32_t minGeneration = 0; // older sets no longer count
    Time settleFrom{0};              // PeersSettled is not appended before
    bool unlimited = false;          // a usable set is empty
    Time until = longAgo;            // end of the lease, unless unlimited
    std::uint64_t sequence = 0;
    Time nextRound{0};
    std::deque<std::pair<std::uint64_t, Time>> sent; // newest last
    std::map<std::string, Link> links;               // by peer
    std::map<std::string, Time> replaced;            // peers of settled sets, until when to renew
    std::map<SessionId, Time> finalEnds;
};

} // namespace kumquat
