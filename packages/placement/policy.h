// Decides which slots an owner moves, where and when. No I/O, clock or thread.
//
// Sections: settings, inputs, decisions, PlacementPolicy.
#pragma once

#include "base/hash.h"
#include "base/names.h"
#include "base/time.h"
#include "placement/meter.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// --- settings ---

struct PlacementSettings
{
    double weightUnavailable = 0.5; // 0 to 1: cost of moves against cost of imbalance
    Duration askPeriod = 3s;        // least time between two rounds of load queries
    Duration refreshPeriod = 60s;   // between two rounds while nothing changes
    std::uint32_t askCount = 5;     // sessions asked a round
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
};

inline constexpr NameTable<PlacementReason, 6> placementReasonNames{
        {{{PlacementReason::MeanUnknown, "mean-unknown"},
          {PlacementReason::LoadChanged, "load-changed"},
          {PlacementReason::Overload, "overload"},
          {PlacementReason::NewSession, "new-session"},
          {PlacementReason::HotKey, "hot-key"},
          {PlacementReason::KeyCooled, "key-cooled"}}}};

// Send a LoadQuery to each of these sessions.
struct AskLoad
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
    Slot dedicatedSlot = 0;
    double load = 0; // requests/s of the key
};

// Append Unbind.
struct UnbindKey
{
    PlacementReason reason{};
    Slot dedicatedSlot = 0;
};

using PlacementDecision = std::variant<AskLoad, MoveSlots, BindKey, UnbindKey>;

// --- PlacementPolicy ---

// Policy of one session; a process that joins again creates a new one.
//
//   auto policy = PlacementPolicy::create(settings, session, "dakar");
//   policy->gainSlot(slot, SlotGain::Assigned, now);  // on each log record that changes ownership
//   policy->loseSlot(slot);
//   // about once a second, on the control thread:
//   policy->setSessions(sessions);
//   policy->setBindings(bindings);
//   policy->takeCounts(meter, now);
//   for (const PlacementDecision &decision : policy->decide(now)) { ... }
//   // on LoadReply:
//   policy->takeSample({reply.session(), reply.load(), reply.mean(), reply.utilisation()}, now);
//   // on LoadQuery:
//   LoadSample answer = policy->ownSample(utilisation);
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
    void gainSlot(Slot slot, SlotGain how, Time now);

    // The session has read that it no longer owns the slot.
    void loseSlot(Slot slot);

    // Adds the requests counted since the last call for any meter, and empties the meter. Several
    // meters may be handed over with the same `now`.
    void takeCounts(LoadMeter &meter, Time now);

    void takeSample(const LoadSample &sample, Time now);

    // Without the log nothing can be appended, so no move, bind or unbind is decided. True at
    // first.
    void setLogAvailable(bool available) { this->logAvailable = available; }

    // Returns what to do now. A move, bind or unbind that does not show up in the log within 10 s
    // is taken as failed.
    std::vector<PlacementDecision> decide(Time now);

    // Returns the answer to a LoadQuery.
    LoadSample ownSample(double utilisation) const;

private:
    PlacementPolicy() = default;
};

} // namespace kumquat
