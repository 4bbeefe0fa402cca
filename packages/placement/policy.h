// Decides which slots an owner moves, to which session and when. Does no I/O, reads no clock and
// starts no thread.
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
    // Weight of the cost of moves, 0 to 1; the remaining weight is on the imbalance of load. At 1
    // overload alone moves no slots, but new sessions still receive slots.
    double weightUnavailable = 0.5;
    Duration queryPeriod = 3s;    // minimum time between two rounds of load queries
    Duration refreshPeriod = 60s; // time between two rounds while nothing changes
    std::uint32_t queryCount = 5; // sessions that are queried in a round
    std::uint32_t movesPerMinute = 12;
    std::uint32_t slotsPerMove = 512;
    Duration hysteresis = 120s; // minimum time between two moves of the same slot
    Duration coldStart = 60s;   // age at which a new session may take the full mean load
    Duration rateWindow = 10s;  // time constant of the request rates
    std::uint64_t seed = 0;     // of the pseudo-random choices; combined with the session id
};

// --- inputs ---

// A live session of the service, as read from the log.
struct SessionView
{
    std::uint64_t session = 0;
    std::string region;
    Time seenSince{};        // when this process first read the Join record of the session
    std::uint32_t slots = 0; // number of slots that the session owns
};

// A key that is bound to a dedicated slot of the service.
struct BindingView
{
    std::uint64_t keyHash = 0;
    Slot dedicatedSlot = 0;
    std::uint64_t owner = 0;       // session that owns the dedicated slot
    std::uint64_t hashedOwner = 0; // session that owns the slot that the key hashes to
};

// Content of a LoadReply.
struct LoadSample
{
    std::uint64_t session = 0;
    double load = 0;        // requests/s
    double mean = 0;        // the session's estimate of the mean load of the service, 0 if unknown
    double utilisation = 0; // share of the concurrency limit in use, 0 to 1
};

enum class SlotGain : std::uint8_t {
    Moved,    // by a Move record; the slot does not move again during the hysteresis time
    Assigned, // by a Join, Fence, Leave or Bind record
};

// --- decisions ---

enum class PlacementReason : std::uint8_t {
    MeanUnknown, // there is no estimate of the mean, or it is out of date
    LoadChanged, // the load of this session has changed since the last round
    Overload,    // the load of this session is above the mean
    NewSession,  // a session owns far fewer slots than the others
    HotKey,      // one key makes up most of the load of a slot
    KeyCooled,   // a bound key is no longer hot
    Stalled,     // the upstream of this session is full at a load that others serve easily
};

inline constexpr NameTable<PlacementReason, 7> placementReasonNames{
        {{{PlacementReason::MeanUnknown, "mean-unknown"},
          {PlacementReason::LoadChanged, "load-changed"},
          {PlacementReason::Overload, "overload"},
          {PlacementReason::NewSession, "new-session"},
          {PlacementReason::HotKey, "hot-key"},
          {PlacementReason::KeyCooled, "key-cooled"},
          {PlacementReason::Stalled, "stalled"}}}};

// The caller sends a LoadQuery to each of these sessions.
struct QueryLoad
{
    PlacementReason reason{};
    std::vector<std::uint64_t> sessions;
};

// The caller appends a Move record with these slots and their epochs.
struct MoveSlots
{
    PlacementReason reason{};
    std::uint64_t target = 0; // session that receives the slots
    std::vector<Slot> slots;  // owned by this session, ascending
    double load = 0;          // requests/s that move with the slots
};

// The caller appends a Bind record.
struct BindKey
{
    PlacementReason reason{};
    std::uint64_t keyHash = 0;
    Slot dedicatedSlot = 0; // a suggestion; any free dedicated slot may be used
    double load = 0;        // requests/s of the key
};

// The caller appends an Unbind record.
struct UnbindKey
{
    PlacementReason reason{};
    Slot dedicatedSlot = 0;
    std::uint64_t keyHash = 0;
};

using PlacementDecision = std::variant<QueryLoad, MoveSlots, BindKey, UnbindKey>;

// --- PlacementPolicy ---

// Placement policy of one session. A process that joins again creates a new policy.
//
//   auto policy = PlacementPolicy::create(settings, session, "dakar");
//   policy->gainSlot(slot, SlotGain::Assigned, now);  // for each log record that changes ownership
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
    // Error: SettingsInvalid if a value is out of range.
    static absl::StatusOr<PlacementPolicy> create(const PlacementSettings &settings,
                                                  std::uint64_t session, std::string region);

    // Replaces the list of live sessions of the service. The list includes this session.
    void setSessions(std::vector<SessionView> views);

    // Replaces the bindings of the service.
    void setBindings(std::vector<BindingView> views);

    // Adds a slot that this session owns according to the log.
    void gainSlot(Slot slot, SlotGain gain, Time now);

    // Removes a slot that this session no longer owns according to the log.
    void loseSlot(Slot slot);

    // Adds the requests that the meter has counted and empties the meter. Call it with the same
    // `now` for each of several meters.
    void addCounts(LoadMeter &meter, Time now);

    // Accepts another session's reply to a load query. Ignores a sample that was not asked for or
    // has invalid values.
    void acceptSample(const LoadSample &sample, Time now);

    // Sets whether the log answers; true at first. Without the log nothing can be appended, so no
    // move, bind or unbind is decided.
    void setLogAvailable(bool available) { this->logAvailable = available; }

    // Sets the share of the learned concurrency limit that is in use, 0 to 1. It is sent with the
    // sample of this session. An upstream that stays full at a low load is stalled, and its slots
    // move away step by step.
    void setUtilisation(double share) { this->utilisation = share; }

    // Returns what to do now. A move, bind or unbind that does not appear in the log within 10 s
    // counts as failed.
    std::vector<PlacementDecision> decide(Time now);

    // Returns whether to answer a LoadQuery. A session that cannot read the log would not learn
    // that slots have moved to it, so it does not offer itself as a target.
    bool answersQueries() const { return this->logAvailable; }

    // Returns the answer to a LoadQuery.
    LoadSample ownSample(Time now) const;

    // Returns the estimated mean load of the sessions of the service in requests/s, 0 if unknown.
    double meanLoad() const { return this->mean; }

private:
    using Decisions = std::vector<PlacementDecision>;

    // The last sample of another session and the time of its arrival.
    struct ReceivedSample
    {
        LoadSample sample;
        Time at{};
        std::uint32_t slots = 0; // slots that the session owned when the sample arrived
    };

    struct Target
    {
        std::uint64_t session = 0;
        double load = 0;    // requests/s
        double amount = 0;  // requests/s that should move to the session
        double netGain = 0; // weighted gain minus weighted cost, as a share of the mean
    };

    // A new session and the step in which it is queried. Steps are counted from the time at which
    // the session was first seen.
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

    // Share of the mean load that a stalled session keeps, so that it notices when its upstream
    // recovers.
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
    double headroomOf(const ReceivedSample &entry, const SessionView &view, Time now) const;
    double headroomShare(double excess) const;
    double costOf(const SessionView &view, Time now) const;
    double rampUpShare(const SessionView &view, Time now) const;
    double expectedLoad(const ReceivedSample &entry, const SessionView &view) const;
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
    std::optional<Time> fullSince;          // when the upstream became full
    bool isSlow = false;                    // result of isSlowerThanOthers in the last round
    std::vector<SessionView> sessions;      // ascending by session
    std::vector<std::uint64_t> newSessions; // other sessions that own few slots
    std::vector<BindingView> bindings;
    SlotRates rates;

    HotKeySketch sketch;
    Time sketchSince{};
    std::vector<KeyRate> hotKeys;   // of the last complete sketch period
    std::map<Slot, Time> coolSince; // own dedicated slots with cooled keys, and since when
    std::optional<BindKey> lastBind;
    Time lastBindAt{};

    std::map<std::uint64_t, ReceivedSample> samples;
    std::vector<std::uint64_t> queriedSessions; // in the current or the last round
    bool roundOpen = false;
    Time roundAt{};
    Time nextRound{};
    std::uint64_t rounds = 0;
    std::optional<NewSessionTurn> recipient; // new session that takes part in the current round
    std::optional<NewSessionTurn> lastTurn;  // in the last round that had a recipient
    Time lastTurnAt{};
    // Consecutive rounds in which this session was overloaded or stalled and decided nothing.
    std::uint32_t unresolvedRounds = 0;
    double loadAtRound = 0; // requests/s of this session at the start of the last round
    double mean = 0;        // requests/s, 0 if unknown
    std::deque<Time> moves; // times of the moves decided within the last minute
};

} // namespace kumquat
