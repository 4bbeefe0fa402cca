// Leases that limit how long an owner may act on the key table that it has read.
//
// An owner asks its voters to vote for its session. While a majority of the votes is valid, no
// other process can have proof that the session has stopped: a voter gives that proof only after it
// has read the record that ended the session and after its own last vote has expired. Leases do not
// need the store, so owners keep working during an outage of the store.
//
//   lease.setVoters(session.voters);
//   lease.noteVote("node-7", sentAt);
//   if (now < lease.validUntil()) { ... renew the grants ... }
//
// Sections: settings, QuorumLease, LeaseVoter, StopProof.
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
    // Time from the sending of a vote request to the end of the vote; the lease length of the key
    // table.
    Duration length = defaultLeaseLength;
    Duration renewEvery = 400ms;
    double clockDrift = 0.02; // fraction by which a clock may be slow
};

// Returns the smallest majority of a number of voters; 0 if there are none.
inline std::size_t voterMajority(std::size_t voters)
{
    return voters == 0 ? 0 : voters / 2 + 1;
}

// ---- QuorumLease ----

// The owner's side: counts the votes for its session. Not thread-safe.
class QuorumLease
{
public:
    explicit QuorumLease(LeaseSettings leaseSettings)
        : settings(leaseSettings)
    {}

    // Sets the lease length of the key table. Votes that are already counted keep their end.
    void setLength(Duration length) { this->settings.length = length; }

    // Replaces the voters. Votes of voters that remain in the set still count.
    void setVoters(const std::vector<std::string> &nodes);

    // Discards all voters and votes, for a new session.
    void reset();

    // Counts a vote that answers a request sent at `sentAt`.
    void noteVote(const std::string &node, Time sentAt);

    // Returns the time at which the majority of votes ends; Time::max() if there are no voters, as
    // with a single host.
    Time validUntil() const;

private:
    LeaseSettings settings;
    std::vector<std::string> voters;
    std::map<std::string, Time> voteEnds; // by voter
};

// ---- LeaseVoter ----

// The voter's side, for the sessions of any service. It keeps its votes in memory only, so for one
// lease after the start of the process it gives no proof. Not thread-safe.
class LeaseVoter
{
public:
    LeaseVoter(LeaseSettings leaseSettings, Time started)
        : settings(leaseSettings)
        , startedAt(started)
    {}

    // Records that this process has read the store up to an end that it queried after its start.
    void noteFreshRead() { this->hasFreshRead = true; }

    // Votes for a session of `table`, the newest one that this process has read. Returns false if
    // the session is not active in the table or the store has not been read since the start.
    bool vote(const KeyTable *table, std::uint64_t session, Time now);

    // Returns whether this process will never vote for an ended session again and its last vote has
    // expired. `endedAt`: offset after the record that ended the session.
    bool hasReleased(const KeyTable *table, std::uint64_t session, std::uint64_t endedAt,
                     Time now) const;

private:
    Duration maxVoteLength(const KeyTable &table) const; // length of a vote on the slowest clock

    LeaseSettings settings;
    Time startedAt;
    bool hasFreshRead = false;
    std::unordered_map<std::uint64_t, Time> voteEnds; // by session
};

// ---- StopProof ----

// Collects the proof that a session no longer holds keys. Not thread-safe.
class StopProof
{
public:
    // Records that a voter has released the session (LeaseVoter::hasReleased).
    void noteRelease(std::uint64_t session, const std::string &voter);

    // Returns whether a majority of each set of voters has released an ended session, or the table
    // marks it as stopped. A session that is not in the table has stopped, because only stopped
    // sessions are removed from it.
    bool isStopped(const KeyTable &table, std::uint64_t session) const;

    // Discards the releases of sessions that are not in the table.
    void prune(const KeyTable &table);

private:
    bool hasMajority(std::uint64_t session, const std::vector<std::string> &voters) const;

    std::map<std::uint64_t, std::set<std::string>> released; // voters by session
};

} // namespace kumquat
