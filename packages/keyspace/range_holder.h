// Decides which keys to grant to the upstream on this host and when to have them released.
//
// A RangeHolder is given the newest key table, the lease and the answers of the upstream, and
// returns the orders to send. It grants a range only after each predecessor has provably stopped,
// and no grant outlasts the lease. A range that was assigned to another session counts as held
// until the upstream has released it or its last possible grant has expired.
//
//   holder.assign(table, session, now);
//   holder.setLease(lease.validUntil());
//   for (const HoldOrder &order : holder.takeOrders(now)) { ... send it, then noteGrant(...) ... }
//   if (holder.access(key, now) == KeyAccess::Held) { ... pass the request on ... }
//
// In GrantMode::Heartbeat, noteReport and answerReport replace takeOrders, noteGrant and
// noteRelease.
//
// Sections: orders, proofs, RangeHolder.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "keyspace/hold_report.h"
#include "keyspace/key_table.h"
#include "keyspace/lease.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// ---- Orders ----

enum class HoldOrderKind : std::uint8_t { Grant, Release };

inline constexpr NameTable<HoldOrderKind, 2> holdOrderKindNames{
        {{{HoldOrderKind::Grant, "grant"}, {HoldOrderKind::Release, "release"}}}};

// One call to the upstream. Its result is passed to noteGrant or noteRelease.
struct HoldOrder
{
    HoldOrderKind kind = HoldOrderKind::Grant;
    std::uint64_t number = 0;
    KeySpan span;
    std::uint64_t fence = 0;
    Duration hold{};      // length of the grant, from its arrival at the upstream
    std::string handover; // of a grant: data of the previous holder that spares the warm-up
    Time decidedAt{};
};

// Returns the order as it may be sent now, with the hold of a grant shortened by the time since the
// order was decided. Returns std::nullopt if less than `minHold` of a grant is left; the caller
// then reports the grant as refused.
std::optional<HoldOrder> orderToSend(const HoldOrder &order, Duration minHold, Time now);

enum class GrantOutcome : std::uint8_t {
    Accepted,
    FencedOff, // the upstream has seen a higher fence
    Refused,   // the upstream answered that it did not accept the grant
    Unknown,   // no answer: the upstream may still accept the grant later
};

inline constexpr NameTable<GrantOutcome, 4> grantOutcomeNames{
        {{{GrantOutcome::Accepted, "accepted"},
          {GrantOutcome::FencedOff, "fenced-off"},
          {GrantOutcome::Refused, "refused"},
          {GrantOutcome::Unknown, "unknown"}}}};

struct HolderSettings
{
    Duration maxHold = LeaseSettings{}.length; // of one grant; at most the lease length
    Duration renewEvery = LeaseSettings{}.renewEvery;
    Duration retryAfter = 150ms; // delay after a refused or unanswered order
    Duration minHold = 200ms;    // no grant is sent if less than this is left of the lease
    double clockDrift = 0.02;    // fraction by which the upstream's clock may be slow
    // A request that is sent this long after the answer to a heartbeat certainly arrives after it.
    Duration answerTravelTime = 10ms;
    std::size_t maxAnswerBytes = 3800; // for the rows of one answer; the platform allows 4 KiB
};

// ---- Proofs ----

enum class KeyAccess : std::uint8_t {
    Held,      // the upstream holds the key
    Pending,   // the key belongs to this session, but the upstream does not hold it now
    Elsewhere, // the key belongs to another session
};

inline constexpr NameTable<KeyAccess, 3> keyAccessNames{{{{KeyAccess::Held, "held"},
                                                          {KeyAccess::Pending, "pending"},
                                                          {KeyAccess::Elsewhere, "elsewhere"}}}};

// A predecessor for which a range of this session still waits.
struct MissingProof
{
    FormerOwner predecessor;
    KeySpan span;
};

// Answer to a successor: whether the upstream on this host no longer holds a span of keys.
struct StopAnswer
{
    bool stopped = false;
    std::string handover; // data that spares the successor the warm-up; may be empty
};

// ---- RangeHolder ----

// Not thread-safe.
class RangeHolder
{
public:
    // `started`: start of this process. Grants of an earlier process on this host may be valid for
    // up to `maxHold` after it, whichever instance of the upstream reports: start times of
    // processes and instances do not order them, because the wall clock may have been set in
    // between.
    RangeHolder(HolderSettings holderSettings, Time started);

    // Applies the newest table. `session`: this host's own session; 0: none, then all keys are
    // released.
    void assign(const KeyTable &table, std::uint64_t session, Time now);

    // Sets the time until which grants may last.
    void setLease(Time until) { this->leaseUntil = until; }

    // Sets the maximum length of one grant; at most the lease length.
    void setMaxHold(Duration maxHold) { this->settings.maxHold = maxHold; }

    // Records that the upstream instance has ended. A later instance at the same address may have
    // accepted grants that were sent to the ended one, so these count as held until the later
    // instance has released them or they have expired.
    void noteUpstreamEnded(Time now);

    // Records the result of a grant order. Returns whether keys became held that were not before.
    bool noteGrant(std::uint64_t number, GrantOutcome outcome, Time now);

    // Records the result of a release order.
    void noteRelease(std::uint64_t number, bool isAnswered, const std::string &handover, Time now);

    // Records the proof that a predecessor no longer holds these keys.
    void notePredecessorStopped(const FormerOwner &predecessor, const KeySpan &span,
                                const std::string &handover);

    // Returns the orders to send now. Call it after each other method that changes the state and at
    // short intervals.
    std::vector<HoldOrder> takeOrders(Time now);

    // Applies the newest heartbeat of the current upstream instance. An upstream sends a heartbeat
    // only after it has received the answers to all earlier ones or stopped waiting for them. Keys
    // that the heartbeat does not list are therefore not held, and no earlier answer can grant them
    // later. An earlier process of this host may have answered a newer heartbeat, so for `maxHold`
    // after the start of this process a heartbeat proves nothing.
    void noteReport(const HoldReport &report, Time now);

    // Returns the grants to send in the answer to the heartbeat of the last noteReport. Returns
    // std::nullopt if nothing can be granted now; the upstream then keeps its keys until its
    // earlier grants end. `heartbeatDelay`: how much later than usual the heartbeat arrived; grants
    // count from the time at which it was sent.
    std::optional<HoldAnswer> answerReport(Duration heartbeatDelay, Time now);

    KeyAccess access(ShardKey key, Time now) const;

    // Returns the time for which the upstream will still hold a key at least; zero if it does not
    // hold it.
    Duration remainingHold(ShardKey key, Time now) const;

    // Returns the predecessors that the ranges of the own session wait for.
    std::vector<MissingProof> missingProofs() const;

    // Returns the fences of the ranges that wait for a predecessor.
    std::vector<std::uint64_t> unsettledFences() const;

    // Answers a successor that was assigned `span`, which the upstream of this host held under
    // `fence`. If this RangeHolder has no record of some of these keys, it starts to release them.
    StopAnswer answerStop(const KeySpan &span, std::uint64_t fence, Time now);

    // Returns whether the upstream certainly holds no keys. Until the grants of an earlier process
    // have ended, it may hold keys that this RangeHolder has no record of.
    bool holdsNothing(Time now) const;

private:
    // A range of the own session.
    struct Owned
    {
        KeyRange range;
        std::string handover;
        Time servesFrom{};   // the upstream holds the range from this time on
        Time servesUntil{};  // the upstream holds the range at least until then
        Time mayHoldUntil{}; // the upstream holds the range at most until then
        Time nextGrant{};
        std::uint64_t order = 0;     // number of the grant order in progress; 0: none
        std::uint64_t grantedIn = 0; // last report whose answer granted the range; 0: none

        // Returns whether no predecessor may hold the range any more.
        bool isSettled() const { return this->range.predecessors.empty(); }
    };

    // A range that the upstream may still hold although the own session does not own it any more.
    struct Stopping
    {
        KeySpan span;
        std::uint64_t fence = 0;
        Time mayHoldUntil{};
        Time nextRelease{};
        std::uint64_t order = 0;      // number of the release order in progress; 0: none
        bool sentDuringGrant = false; // the release was sent while a grant was in progress
        // The upstream may carry out an unanswered grant until mayHoldUntil.
        bool hasUnansweredGrant = false;
        bool isReleased = false;
        std::string handover;
        Time stoppingSince{};

        bool isStopped(Time now) const
        {
            return now >= this->mayHoldUntil || (this->isReleased && !this->hasUnansweredGrant);
        }
    };

    // A grant order that the upstream has not answered.
    struct PendingGrant
    {
        std::uint64_t number = 0;
        KeySpan span;
        std::uint64_t fence = 0;
        Duration hold{};
        Time sentAt{};
        bool isAnswerLost = false; // the upstream may still carry out the grant until `until`
        Time until{};
    };

    Duration maxHoldNow(Time now) const;
    void grantInAnswer(Owned &owned, Duration heartbeatDelay, Time now, HoldAnswer &answer) const;
    Owned inheritState(const KeyRange &range, const std::vector<Owned> &before) const;
    Time earlierGrantsEnd() const;
    void stopLostRanges(const std::vector<Owned> &before, Time now);
    void addStopping(const KeySpan &span, std::uint64_t fence, Time mayHoldUntil, Time now);
    void orderGrant(Owned &owned, Time now, std::vector<HoldOrder> &orders);
    void orderRelease(Stopping &stopping, Time now, std::vector<HoldOrder> &orders);
    bool isBeingGranted(const KeySpan &span, std::uint64_t fence) const;
    bool mayBeGrantedLate(const KeySpan &span, std::uint64_t fence, Time now) const;
    Duration withClockDrift(Duration hold) const;
    void removeExpired(Time now);

    HolderSettings settings;
    Time startedAt;
    Time leaseUntil{};
    std::uint64_t lastOrder = 0;  // number of the newest order
    std::uint64_t lastReport = 0; // number of the newest report
    std::vector<Owned> owned;
    std::vector<Stopping> stopping;
    std::vector<PendingGrant> grants; // without an answer so far
};

} // namespace kumquat
