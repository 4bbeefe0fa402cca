// Leases that limit how long an owner may act on the key table that it has read.
//
// An owner asks its voters to vote for its session. While a majority of the votes is valid, no
// other process can have proof that the session has stopped: a voter gives that proof only after it
// has read the record that ended the session and after its own last vote has expired. Votes do not
// need the store, so owners keep working during an outage of the store.
//
// Voters may be lost for good and never give that proof. An owner therefore also stops once its key
// table has not been compared with the store for `freshFor`, and a session that was ended longer
// ago has stopped whatever became of its voters.
//
//   lease.setVoters(session.voters);
//   lease.noteVote("node-7", sentAt);
//   freshness.note(askedAt);
//   if (now < std::min(lease.validUntil(), freshness.leaseLimit())) { ... renew the grants ... }
//
// Sections: settings, QuorumLease, VoterChange, TableFreshness, LeaseVoter, StopProof.
#pragma once

#include "base/time.h"
#include "keyspace/key_table.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
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
    // Time without a current key table after which an owner stops. Outages of the store take up to
    // 9 s, and the table is compared with the store every 3 s or less.
    Duration freshFor = 12s;
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

// ---- VoterChange ----

// Tells from which key tables the voters come on which the present grants of an owner depend. A
// grant outlasts a change of the voters by up to one lease. Not thread-safe.
class VoterChange
{
public:
    // `started`: start of this process. An earlier process on this host may have used other voters.
    explicit VoterChange(Time started)
        : changedAt(started)
    {}

    // Records the voters of the own session in a table that ends at `tableEnd`.
    void note(const std::vector<std::string> &nodes, std::uint64_t tableEnd, Time now);

    // Returns an end of the tables: all grants depend on voters of tables up to it or later ones.
    std::uint64_t settledEnd(Duration leaseLength, Time now) const;

private:
    std::vector<std::string> voters;
    std::uint64_t endBefore = 0; // of the last table with the voters before
    std::uint64_t end = 0;       // of the last table
    Time changedAt;
};

// ---- TableFreshness ----

// Tracks how current the key tables of this process are. Not thread-safe.
class TableFreshness
{
public:
    explicit TableFreshness(Time started, LeaseSettings leaseSettings = {})
        : settings(leaseSettings)
        , startedAt(started)
    {}

    // Records that this process has read all tables that were in the store at `asOf`, when the
    // store was in `era`. Ignored are times before the start of the process (an earlier process on
    // this host may have confirmed newer voters than the table of that time names) and eras before
    // the newest one (the tables that were compared may be lost).
    void note(Time asOf, std::uint32_t era = 0);

    // Records that the store is in this era: comparisons in older eras no longer count.
    void noteEra(std::uint32_t era) { this->newestEra = std::max(this->newestEra, era); }

    // Returns the time since the tables of an era were current, or std::nullopt if it is unknown.
    std::optional<Duration> age(Time now, std::uint32_t era = 0) const;

    // Returns the time until which an owner may act on a table of an era; zero if it is unknown. A
    // comparison in another era does not extend it.
    Time leaseLimit(std::uint32_t era = 0) const;

private:
    LeaseSettings settings;
    Time startedAt;
    std::uint32_t newestEra = 0;
    std::map<std::uint32_t, Time> currentAt; // by era; a process sees few eras
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

    // Records that this process has read the store up to an end that it queried after its start,
    // when the store was in `era`. Tables of older eras give no votes then: one may be lost whose
    // end of a session an earlier process on this host has confirmed.
    void noteFreshRead(std::uint32_t era = 0) { this->freshReadEra = era; }

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
    std::optional<std::uint32_t> freshReadEra;        // unset: not read yet
    std::unordered_map<std::uint64_t, Time> voteEnds; // by session
};

// ---- StopProof ----

// Collects the proof that a session no longer holds keys. Not thread-safe.
class StopProof
{
public:
    // Records that a voter has released the session (LeaseVoter::hasReleased).
    void noteRelease(std::uint64_t session, const std::string &voter);

    // Returns whether so many voters have released an ended session that neither set of voters has
    // a majority left for it, or the table marks it as stopped. A session that is not in the table
    // has stopped, because only stopped sessions are removed from it.
    bool isStopped(const KeyTable &table, std::uint64_t session) const;

    // Records which sessions a table that was read at `now` names as ended.
    void noteTable(const KeyTable &table, Time now);

    // Returns whether a session was ended so long ago that the owner's key table can no longer
    // count as current (TableFreshness), with or without its voters.
    bool hasExpired(std::uint64_t session, Time now) const;

    // Discards what is known of sessions that are not in the table or active in it. An ended
    // session is active again if the record of its end was lost in a rollback of the store.
    void prune(const KeyTable &table);

private:
    bool hasNoMajorityLeft(std::uint64_t session, const std::vector<std::string> &voters) const;

    LeaseSettings settings;
    std::map<std::uint64_t, std::set<std::string>> released; // voters by session
    std::map<std::uint64_t, Time> endedSince; // by session; when this process learnt of its end
};

} // namespace kumquat
