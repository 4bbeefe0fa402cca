// Leases that bound how long an owner may act on the key table that it has read.
//
// An owner asks its voters to vouch for its session. While a majority does, no other process can
// have proof that the session has stopped: a voter gives that proof only after it has read the
// record that ended the session and after its own last vouch is over. Nothing here needs the store,
// so owners go on while it is away.
//
//   lease.setVoters(session.voters);
//   lease.noteVouch("node-7", sentAt);
//   if (now < lease.validUntil()) { ... renew the grants ... }
//
// Sections: settings, VouchedLease, VoterRole, StopProof.
#pragma once

#include "base/time.h"
#include "keyspace/key_table.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat {

// ---- Settings ----

struct LeaseSettings
{
    // From the sending of a request to the end of the vouch that answers it; that of the key table.
    Duration length = defaultLeaseLength;
    Duration renewEvery = 400ms;
    double clockDrift = 0.02; // share by which a clock may be slow
};

// Returns the smallest number of voters that is a majority; 0 without voters.
inline std::size_t voterMajority(std::size_t voters)
{
    return voters == 0 ? 0 : voters / 2 + 1;
}

// ---- VouchedLease ----

// The owner's side. Not thread-safe.
class QuorumLease
{
public:
    explicit QuorumLease(LeaseSettings leaseSettings)
        : settings(leaseSettings)
    {}

    // Takes the length of the key table; vouches that were counted keep theirs.
    void setLength(Duration length) { this->settings.length = length; }

    // Replaces the voters; vouches of those that stay go on counting.
    void setVoters(const std::vector<std::string> &nodes);

    // Forgets all vouches, for another session.
    void reset();

    // Counts the answer to a request that was sent at `sentAt`.
    void noteVote(const std::string &node, Time sentAt);

    // Returns when the majority ends; Time::max() without voters, as for a single host.
    Time validUntil() const;

private:
    LeaseSettings settings;
    std::vector<std::string> voters;
    std::map<std::string, Time> until;
};

// ---- VoterRole ----

// The voter's side, for the sessions of any service. It keeps its vouches in memory only, so after
// a start it gives no proof for one lease. Not thread-safe.
class LeaseVoter
{
public:
    LeaseVoter(LeaseSettings leaseSettings, Time started)
        : settings(leaseSettings)
        , startedAt(started)
    {}

    // Notes that the store's records up to an end asked for after the start have been read.
    void noteFreshRead() { this->hasFreshRead = true; }

    // Vouches for a session of the newest table that this process has read. Returns false if the
    // session is not active there or nothing fresh has been read.
    bool vote(const KeyTable *table, std::uint64_t session, Time now);

    // Says whether this process will not vouch for an ended session again and its last vouch is
    // over. `endedAt` is the end of the record that ended it.
    bool hasReleased(const KeyTable *table, std::uint64_t session, std::uint64_t endedAt,
                     Time now) const;

private:
    Duration longest(const KeyTable &table) const; // a vouch by the slowest clock

    LeaseSettings settings;
    Time startedAt;
    bool hasFreshRead = false;
    std::unordered_map<std::uint64_t, Time> until; // by session
};

// ---- StopProof ----

// Collects what proves that a session has stopped to hold keys. Not thread-safe.
class StopProof
{
public:
    void noteRelease(std::uint64_t session, const std::string &voter);

    // Says whether a majority of each set of voters has released an ended session, or the table
    // says that it stopped. A session that the table lacks has stopped, as only stopped ones are
    // removed from it.
    bool isStopped(const KeyTable &table, std::uint64_t session) const;

    // Forgets sessions that the table lacks.
    void prune(const KeyTable &table);

private:
    bool hasMajority(std::uint64_t session, const std::vector<std::string> &voters) const;

    std::map<std::uint64_t, std::set<std::string>> released;
};

} // namespace kumquat
