// Decides which slots an owner moves, where and when. No I/O, clock or thread.
//
// Sections: settings, inputs, decisions, PlacementPolicy.
#pragma once

#include "base/hash.h"
#include "base/names.h"
#include "base/time.h"
#include "placement/meter.h"
#include "placement/rates.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// --- settings ---

struct PlacementSettings
{
    // 0 to 1: the cost of moves; the rest weighs imbalance. At 1 only new sessions receive slots.
    double weightUnavailable = 0.5;
    Duration queryPeriod = 3s;    // least time between two rounds of load queries
    Duration refreshPeriod = 60s; // between two rounds while nothing changes
    std::uint32_t queryCount = 5; // sessions queriedSessions a round
    std::uint32_t movesPerMinute = 12;
    std::uint32_t slotsPerMove = 512;
    Duration hysteresis = 120s; // a slot that came by a move stays at least this long
    Duration coldStart = 60s;   // a new session may take the full mean load after this
    Duration rateWindow = 10s;  // time constant of the request rates
    std::uint64_t seed = 0;     // of the pseudo-random choices, mixed with the session
};

// --- inputs ---

// One live session of the service, as replayed from the log.
struct SessionView
{
    std::uint64_t session = 0;
    std::string region;
    Time seenSince{};        // when this process first read its Join
    std::uint32_t slots = 0; // slots it owns
};

// One key that is bound to a dedicated slot of the service.
struct BindingView
{
    std::uint64_t keyHash = 0;
    Slot dedicatedSlot = 0;
    std::uint64_t owner = 0;       // session that owns the dedicated slot
    std::uint64_t hashedOwner = 0; // session that owns the slot the key hashes to
};

// Content of a LoadReply.
struct LoadSample
{
    std::uint64_t session = 0;
    double load = 0;        // requests/s
    double mean = 0;        // the session's estimate of the mean of the service, 0: unknown
    double utilisation = 0; // 0 to 1
};

enum class SlotGain : std::uint8_t {
    Moved,    // by a Move record; the slot stays for the hysteresis time
    Assigned, // by Join, Fence, Leave or Bind
};

// --- decisions ---

enum class PlacementReason : std::uint8_t {
    MeanUnknown, // no usable estimate of the mean yet, or it is too old
    LoadChanged, // the own load differs from the load at the last round
    Overload,    // the own load is above the mean
    NewSession,  // a session owns far fewer slots than the others
    HotKey,      // one key dominates a slot
    KeyCooled,   // a bound key is no longer hot
    Stalled,     // the own upstream is full at a load that others serve easily
};

inline constexpr NameTable<PlacementReason, 7> placementReasonNames{
        {{{PlacementReason::MeanUnknown, "mean-unknown"},
          {PlacementReason::LoadChanged, "load-changed"},
          {PlacementReason::Overload, "overload"},
          {PlacementReason::NewSession, "new-session"},
          {PlacementReason::HotKey, "hot-key"},
          {PlacementReason::KeyCooled, "key-cooled"},
          {PlacementReason::Stalled, "stalled"}}}};

// Send a LoadQuery to each of these sessions.
struct QueryLoad
{
    PlacementReason reason{};
    std::vector<std::uint64_t> sessions;
};

// Append Move with these slots; the caller adds the epochs.
struct MoveSlots
{
    PlacementReason reason{};
    std::uint64_t target = 0; // session
    std::vector<Slot> slots;  // owned by this session, ascending
    double load = 0;          // requests/s that move
};

// Append Bind.
struct BindKey
{
    PlacementReason reason{};
    std::uint64_t keyHash = 0;
    Slot dedicatedSlot = 0; // a suggestion; any free one will do
    double load = 0;        // requests/s of the key
};

// Append Unbind.
struct UnbindKey
{
    PlacementReason reason{};
    Slot dedicatedSlot = 0;
    std::uint64_t keyHash = 0;
};

using PlacementDecision = std::variant<QueryLoad, MoveSlots, BindKey, UnbindKey>;

// --- PlacementPolicy ---

// Policy of one session; a process that joins again creates a new one.
//
//   auto policy = PlacementPolicy::create(settings, session, "dakar");
//   policy->gainSlot(slot, SlotGain::Assigned, now);  // on each log record that changes ownership
//   policy->loseSlot(slot);
//   // about once a second, on the control thread:
//   policy->setSessions(sessions);
//   policy->setBindings(bindings);
//   policy->addCounts(meter, now);
//   for (const PlacementDecision &decision : policy->decide(now)) { ... }
//   // on LoadReply:
//   policy->acceptSample({reply.session(), reply.load(), reply.mean(), reply.utilisation()}, now);
//   // on LoadQuery:
//   LoadSample answer = policy->ownSample(now);
class PlacementPolicy
{
public:
    // Error: SettingsInvalid for a value out of range.
    static absl::StatusOr<PlacementPolicy> create(const PlacementSettings &settings,
                                                  std::uint64_t session, std::string region);

    // Replaces the live sessions of the service, this one included.
    void setSessions(std::vector<SessionView> views);

    // Replaces the bindings of the service.
    void setBindings(std::vector<BindingView> views);

    // The session has read that it owns the slot.
    void gainSlot(Slot slot, SlotGain gain, Time now);

    // The session has read that it no longer owns the slot.
    void loseSlot(Slot slot);

    // Adds the requests counted since the last call for any meter, and empties the meter. Several
    // meters may be handed over with the same `now`.
    void addCounts(LoadMeter &meter, Time now);

    void acceptSample(const LoadSample &sample, Time now);

    // Without the log nothing can be appended, so no move, bind or unbind is decided. True at
    // first.
    void setLogAvailable(bool available) { this->logAvailable = available; }

    // Sets the share of the learned concurrency limit in use, 0 to 1; sent with the own sample. An
    // upstream that stays full gives its slots away step by step, because it does not answer.
    void setUtilisation(double share) { this->utilisation = share; }

    // Returns what to do now. A move, bind or unbind that does not show up in the log within 10 s
    // is taken as failed.
    std::vector<PlacementDecision> decide(Time now);

    // Returns whether to answer a LoadQuery. A session that cannot read the log would not learn
    // that it owns slots which move to it, so it must not be chosen as a target.
    bool answersQueries() const { return this->logAvailable; }

    // Returns the answer to a LoadQuery.
    LoadSample ownSample(Time now) const;

    // Returns the estimate of the mean load of the service in requests/s, 0 if unknown.
    double meanLoad() const { return this->mean; }

private:
    using Decisions = std::vector<PlacementDecision>;

    // Last sample of another session.
    struct ReceivedSample
    {
        LoadSample sample;
        Time at{};
        std::uint32_t slots = 0; // slots it owned then
    };

    struct Target
    {
        std::uint64_t session = 0;
        double load = 0;    // requests/s
        double amount = 0;  // requests/s it should receive
        double netGain = 0; // gain less cost, in shares of the mean
    };

    // A new session and the step, counted from the time it was first seen, in which it is
    // queriedSessions.
    struct NewSessionTurn
    {
        std::uint64_t session = 0;
        std::uint64_t step = 0;
    };

    struct KeyRate
    {
        std::uint64_t keyHash = 0;
        double rate = 0; // requests/s, a lower bound
    };

    // Share of the mean that a stalled session keeps, so that it notices the recovery.
    static constexpr double stalledKeptShare = 0.05;

    PlacementPolicy(const PlacementSettings &chosen, std::uint64_t ownSession,
                    std::string ownRegion);

    void updateDamping(Time now);

    // Rounds of load queries (policy.cpp).
    void dropExpired(Time now);
    bool isRoundDone(Time now) const;
    void closeRound(Time now);
    std::optional<PlacementReason> findQueryReason(Time now);
    QueryLoad openRound(PlacementReason reason, Time now);
    const SessionView *findSession(std::uint64_t session) const;
    double averageSlots() const;
    double relativeNoise(double load) const;
    double enterRatio(double load) const;
    double exitRatio() const;
    bool isOverloaded(double load) const;
    void noteStall(Time now);
    bool isFull(Time now) const;
    bool isStalled(Time now) const;
    bool isSlowerThanOthers(Time now) const;
    bool isDegraded(const LoadSample &sample) const;

    // Decisions at the end of a round (choice.cpp).
    void balance(Time now, Decisions &decisions);
    bool bindHotKey(Time now, Decisions &decisions);
    void unbindCooledKeys(Time now, Decisions &decisions);
    void returnCooledKey(const BindingView &view, Time now, Decisions &decisions);
    bool moveAway(Time now, double load, Decisions &decisions);
    bool moveFromStalled(Time now, double load, Decisions &decisions);
    bool moveToNewSession(Time now, double load, Decisions &decisions);
    std::optional<Target> findTarget(Time now, double load, double excess) const;
    double amountFor(const ReceivedSample &entry, const SessionView &view, Time now, double load,
                     double excess) const;
    double headroomOf(const ReceivedSample &samples, const SessionView &view, Time now) const;
    double headroomShare(double excess) const;
    double costOf(const SessionView &view, Time now) const;
    double rampUpShare(const SessionView &view, Time now) const;
    double expectedLoad(const ReceivedSample &samples, const SessionView &view) const;
    bool move(PlacementReason reason, const Target &target, Time now, Decisions &decisions);
    void findNewSessions();
    bool hasJustJoined(std::uint64_t id, Time now) const;
    bool isTurnDue(const NewSessionTurn &turn, Time now) const;
    std::optional<NewSessionTurn> chooseNewSession(Time now) const;
    std::optional<Slot> findFreeDedicatedSlot(std::uint64_t keyHash) const;

    PlacementSettings settings;
    std::uint64_t session = 0;
    std::string region;
    bool logAvailable = true;
    double utilisation = 0;
    std::optional<Time> fullSince;          // the utilisation has been full since then
    bool isSlow = false;                    // as found in the last round
    std::vector<SessionView> sessions;      // ascending by session
    std::vector<std::uint64_t> newSessions; // other sessions with few slots
    std::vector<BindingView> bindings;
    SlotRates rates;

    HotKeySketch sketch;
    Time sketchSince{};
    std::vector<KeyRate> hotKeys;   // of the last full sketch period
    std::map<Slot, Time> coolSince; // own dedicated slots whose key is no longer hot
    std::optional<BindKey> lastBind;
    Time lastBindAt{};

    std::map<std::uint64_t, ReceivedSample> samples;
    std::vector<std::uint64_t> queriedSessions; // sessions of the current or last round
    bool roundOpen = false;
    Time roundAt{};
    Time nextRound{};
    std::uint64_t rounds = 0;
    std::optional<NewSessionTurn> recipient; // new session that takes part in the current round
    std::optional<NewSessionTurn> lastTurn;  // of the last round with a new session
    Time lastTurnAt{};
    std::uint32_t unresolvedRounds = 0; // rounds in a row with overload but without a decision
    double loadAtRound = 0;             // own requests/s
    double mean = 0;                    // requests/s, 0: unknown
    std::deque<Time> moves;             // decided within the last minute
};

} // namespace kumquat
