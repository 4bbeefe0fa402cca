// Decides which keys the upstream beside this process is granted and when it gives them back.
//
// It is told the newest key table, the lease and the answers of the upstream, and returns orders
// to send. A range is granted only after each predecessor has provably stopped; a hold never lasts
// longer than the lease; a range that was taken away counts as held until the upstream has released
// it or the last hold that it may have is over.
//
//   holder.assign(table, session, now);
//   holder.setLease(lease.validUntil());
//   for (const HoldOrder &order : holder.takeOrders(now)) { ... send it, then noteGrant(...) ... }
//   if (holder.access(key, now) == KeyAccess::Held) { ... pass the request on ... }
//
// Where grants go in the answers to heartbeats, noteReport and answerReport take the place of the
// orders and their notes.
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

// One call to the upstream. Each is answered with noteGrant or noteRelease.
struct HoldOrder
{
    HoldOrderKind kind = HoldOrderKind::Grant;
    std::uint64_t number = 0;
    KeySpan span;
    std::uint64_t fence = 0;
    Duration hold{};      // of a grant, from its arrival
    std::string handover; // of a grant: from the last holder, spares the warm-up
    Time decidedAt{};
};

// Returns the order as it may be sent now: the right to grant has grown shorter since the order was
// decided. Nothing if less than `least` of a grant is left; it counts as refused then.
std::optional<HoldOrder> orderToSend(const HoldOrder &order, Duration least, Time now);

enum class GrantOutcome : std::uint8_t {
    Accepted,
    FencedOff, // the upstream has seen a higher fence
    Refused,   // it says that it did not take the grant
    Unknown,   // no answer: it may take the grant later
};

inline constexpr NameTable<GrantOutcome, 4> grantOutcomeNames{
        {{{GrantOutcome::Accepted, "accepted"},
          {GrantOutcome::FencedOff, "fenced-off"},
          {GrantOutcome::Refused, "refused"},
          {GrantOutcome::Unknown, "unknown"}}}};

struct HolderSettings
{
    Duration maxHold = LeaseSettings{}.length; // of one grant; at most the lease
    Duration renewEvery = LeaseSettings{}.renewEvery;
    Duration retryAfter = 150ms; // after a refused or unanswered order
    Duration minHold = 200ms;    // a shorter rest of the lease is not worth a grant
    double clockDrift = 0.02;    // share by which the upstream's clock may be slow
    // Until an answer to a heartbeat has certainly arrived before a request that is sent then.
    Duration answerTravelTime = 10ms;
    std::size_t maxAnswerBytes = 3800; // of the rows of one answer; the platform allows 4 KiB
};

// ---- Proofs ----

enum class KeyAccess : std::uint8_t {
    Held,      // the upstream holds the key
    Pending,   // the key belongs to this session, its grant is under way
    Elsewhere, // the key belongs to another session
};

inline constexpr NameTable<KeyAccess, 3> keyAccessNames{{{{KeyAccess::Held, "held"},
                                                          {KeyAccess::Pending, "pending"},
                                                          {KeyAccess::Elsewhere, "elsewhere"}}}};

// A predecessor of a range that this session waits for.
struct MissingProof
{
    FormerOwner predecessor;
    KeySpan span;
};

// Answer to a successor: whether the upstream beside this process has stopped to hold keys.
struct StopAnswer
{
    bool stopped = false;
    std::string handover;
};

// ---- RangeHolder ----

// Not thread-safe.
class RangeHolder
{
public:
    // `started`: of this process. Grants of an earlier process may bind for one longest hold.
    RangeHolder(HolderSettings holderSettings, Time started);

    // Takes the newest table. `session` is the own one, 0 for none: then everything is given back.
    void assign(const KeyTable &table, std::uint64_t session, Time now);

    // Takes the time until which grants may last.
    void setLease(Time until) { this->leaseUntil = until; }

    // Takes the longest time of one grant; at most the lease.
    void setMaxHold(Duration maxHold) { this->settings.maxHold = maxHold; }

    // Notes that the upstream's life is over. A later life at the same address may have taken
    // grants that were meant for it, so they count until that life has released them.
    void noteUpstreamEnded(Time now);

    // Returns whether keys are held now that were not before.
    bool noteGrant(std::uint64_t number, GrantOutcome end, Time now);
    void noteRelease(std::uint64_t number, bool isAnswered, const std::string &handover, Time now);

    // Takes the proof that a predecessor does not hold these keys any more.
    void notePredecessorStopped(const FormerOwner &predecessor, const KeySpan &span,
                                const std::string &handover);

    // Returns the calls to make now; call again after each note and at short intervals.
    std::vector<HoldOrder> takeOrders(Time now);

    // Takes what the newest heartbeat of the present life says. An upstream sends a heartbeat only
    // after it has taken or given up the answers to all earlier ones, so what is missing in it is
    // neither held nor will be by an answer given before. An earlier process of this host may have
    // answered newer ones, so for one longest hold after the start it proves nothing.
    void noteReport(const HoldReport &report, Time now);

    // Returns what the answer to the heartbeat of the last noteReport grants, or nothing where it
    // can't grant: then the upstream keeps what it holds for as long as it was told before.
    // `late`: how much later than usual the heartbeat came, as its grants count from its sending.
    std::optional<HoldAnswer> answerReport(Duration late, Time now);

    KeyAccess access(ShardKey key, Time now) const;

    // Returns how long the grant of a held key still lasts at least, zero for other keys.
    Duration remainingHold(ShardKey key, Time now) const;

    // Returns what the own ranges wait for.
    std::vector<MissingProof> missingProofs() const;

    // Returns the fences of ranges that wait for a predecessor.
    std::vector<std::uint64_t> unsettledFences() const;

    // Answers a successor that got `span`, which the own upstream held under `fence`. Asking makes
    // the holder release keys of which it knows nothing.
    StopAnswer answerStop(const KeySpan &span, std::uint64_t fence, Time now);

    // Says whether nothing is held, and nothing may be.
    bool holdsNothing(Time now) const;

private:
    // A range of the own session.
    struct Owned
    {
        KeyRange range;
        std::string handover;
        Time servesFrom{};   // the upstream holds the range from then on
        Time servesUntil{};  // and at least so long
        Time mayHoldUntil{}; // and at most so long
        Time nextGrant{};
        std::uint64_t order = 0;     // under way, 0: none
        std::uint64_t grantedIn = 0; // last report whose answer granted the range, 0: none

        bool isSettled() const { return this->range.predecessors.empty(); }
    };

    // A range that the upstream may still hold for nobody.
    struct Stopping
    {
        KeySpan span;
        std::uint64_t fence = 0;
        Time mayHoldUntil{};
        Time nextRelease{};
        std::uint64_t order = 0;
        bool besideGrant = false; // the release was sent while a grant was under way
        bool isUnanswered =
                false; // a grant without an answer may be carried out until mayHoldUntil
        bool isReleased = false;
        std::string handover;
        Time since{};

        bool isStopped(Time now) const
        {
            return now >= this->mayHoldUntil || (this->isReleased && !this->isUnanswered);
        }
    };

    struct PendingGrant
    {
        std::uint64_t number = 0;
        KeySpan span;
        std::uint64_t fence = 0;
        Duration hold{};
        Time sentAt{};
        bool isOverdue = false; // its answer is lost, so it may be carried out until `until`
        Time until{};
    };

    Duration maxHoldNow(Time now) const;
    void grantInAnswer(Owned &owned, Duration late, Time now, HoldAnswer &answer) const;
    Owned inherit(const KeyRange &range, const std::vector<Owned> &before) const;
    Time earlierGrantsEnd() const;
    void stopLost(const std::vector<Owned> &before, Time now);
    void addStopping(const KeySpan &span, std::uint64_t fence, Time mayHoldUntil, Time now);
    void orderGrant(Owned &owned, Time now, std::vector<HoldOrder> &orders);
    void orderRelease(Stopping &stopping, Time now, std::vector<HoldOrder> &orders);
    bool isBeingGranted(const KeySpan &span, std::uint64_t fence) const;
    bool mayBeGrantedLate(const KeySpan &span, std::uint64_t fence, Time now) const;
    Duration stretched(Duration hold) const;
    void forgetOld(Time now);

    HolderSettings settings;
    Time startedAt;
    Time leaseUntil{};
    std::uint64_t lastOrder = 0;
    std::uint64_t lastReport = 0;
    std::vector<Owned> owned;
    std::vector<Stopping> stopping;
    std::vector<PendingGrant> grants; // unanswered ones
};

} // namespace kumquat
