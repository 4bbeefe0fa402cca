// State replayed from the log: sessions, slots, bindings, rules, crash fingerprints.
// Sections: sessions, slots, results, ClusterState.
#pragma once

#include "base/hash.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquat::wire {
class Checkpoint;
class ClusterSnapshot;
class Join;
class LogRecord;
class ServiceSnapshot;
class SessionSnapshot;
} // namespace kumquat::wire

namespace kumquat {

using Offset = std::uint64_t;    // position of a record in the log
using SessionId = std::uint64_t; // offset of the accepted Join; 0 is no session
using Epoch = std::uint64_t;     // offset of the record that assigned the slot to its owner

// Session ids, epochs and rules versions use 0 for "none", so a Join or Rules at offset 0 is
// rejected.

// ---- sessions ----

inline constexpr std::size_t peerLimit = 3; // peers in one set

struct PeerSet
{
    std::uint32_t generation = 0;
    std::vector<std::string> peers; // node names, lowest rank first
};

// Returns the size of a majority of `count` peers. The result is 1 for 0 peers, so an empty set
// never has a majority.
constexpr std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

struct Session
{
    SessionId id = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    std::string meshAddress;   // IP:port
    std::string callerAddress; // IP:port
    std::string adminAddress;  // IP:port
    std::string region;
    std::string dataCentre;
    std::string service; // empty: the session owns no slots
    bool checksGrants = false;
    bool ended = false;
    bool released = false;
    std::uint32_t generation = 0;  // of the newest peer set
    std::vector<PeerSet> peerSets; // since the last settled one, oldest first
    std::uint32_t slots = 0;       // number of slots owned
    std::uint32_t references = 0;  // number of entries in predecessor lists and lineages

    // Returns the session that a Join starts, without its peer set.
    static Session fromJoin(SessionId id, const wire::Join &join);
};

// ---- slots ----

// Number of slots of each service. All processes must use the same layout; tests use fewer slots.
struct SlotLayout
{
    Slot hashed = hashedSlotCount;
    Slot dedicated = dedicatedSlotCount;

    Slot count() const { return this->hashed + this->dedicated; }
    Slot slotOf(std::uint64_t keyHash) const { return static_cast<Slot>(keyHash % this->hashed); }
    bool isDedicated(Slot slot) const { return slot >= this->hashed && slot < this->count(); }
};

struct Predecessor
{
    SessionId session = 0;
    Epoch epoch = 0;
    bool operator==(const Predecessor &) const = default;
};

// Sessions that lost a slot without a confirmed handover, newest last; entries of 0 are unused.
// These are sessions that ended by a Fence or a superseding Join, and predecessors that ended
// before all processes knew of their handover.
inline constexpr std::size_t lineageLimit = 4;
using Lineage = std::array<SessionId, lineageLimit>;

struct SlotState
{
    SessionId owner = 0; // 0: no owner
    Epoch epoch = 0;
    std::vector<Predecessor> predecessors; // earlier owners that may still serve the slot
    Lineage lineage{};
};

struct Binding
{
    std::uint64_t keyHash = 0;
    Slot slot = 0; // dedicated slot
};

struct ServiceState
{
    std::vector<SlotState> slots;  // one for each slot of the layout
    std::vector<Binding> bindings; // sorted by key hash

    // Returns the first binding whose key hash is not below `keyHash`.
    std::vector<Binding>::const_iterator lowerBinding(std::uint64_t keyHash) const;

    // Returns the dedicated slot of a key, or nothing if the key is not bound.
    std::optional<Slot> findBinding(std::uint64_t keyHash) const;

    // Returns whether a key is bound to the dedicated slot.
    bool isBound(Slot slot) const;
};

// The slot and owner of a key, as far as the log was read. Pointers are valid until the next
// apply().
struct SlotView
{
    Slot slot = 0;
    const SlotState *state = nullptr;
    const Session *owner = nullptr; // nullptr: no owner
};

// The keys that map to one slot.
struct SlotKeys
{
    std::string service;
    SlotLayout layout;
    Slot slot = 0;
    std::optional<std::uint64_t> boundKey; // key hash of a dedicated slot
    std::vector<std::uint64_t> excluded;   // key hashes of a hashed slot that have a dedicated slot

    // Returns whether a key of the service with this hash maps to the slot.
    bool contains(std::uint64_t keyHash) const;
};

// ---- results ----

struct SlotChange
{
    Slot slot = 0;
    SessionId from = 0; // previous owner; 0: none
    SessionId to = 0;   // new owner; 0: none
};

// Changed slots of one service, in ascending order.
struct ServiceChange
{
    std::string service;
    std::vector<SlotChange> slots;
};

// The effect of a record.
struct ApplyResult
{
    bool accepted = false;
    std::string_view reason;          // why the record was rejected
    SessionId started = 0;            // session that a Join started
    std::vector<SessionId> ended;     // sessions ended by a Fence, Leave or superseding Join
    SessionId released = 0;           // session that a Released record names
    std::vector<ServiceChange> moved; // services in order of name, each with at least one slot
    bool rulesChanged = false;
    bool crashesChanged = false;
};

struct RulesState
{
    std::uint64_t version = 0; // offset of the record; 0 before the first publication
    std::uint64_t publicationIdHigh = 0;
    std::uint64_t publicationIdLow = 0;
    std::string author;
    std::string text;
};

inline constexpr std::size_t crashLimit = 4096; // fingerprints kept; the oldest is dropped

struct CrashState
{
    std::uint32_t crashes = 0;
    std::uint64_t lastCrashId = 0;
    std::uint64_t order = 0; // of the last crash report; the lowest is dropped first
};

using CrashCounts = std::map<std::uint64_t, CrashState>; // by fingerprint

// ---- ClusterState ----

// Replays records in order of offset. All processes that have replayed the same records have the
// same state.
//
//   ClusterState state;
//   ApplyResult result = state.apply(state.nextOffset(), record);
//   std::optional<SlotView> view = state.find("testlog", hashKey("testlog", "42"));
class ClusterState
{
public:
    explicit ClusterState(SlotLayout slotLayout = {})
        : serviceLayout(slotLayout)
    {}

    // Applies the record at nextOffset(); any other offset is a programming error.
    ApplyResult apply(Offset offset, const wire::LogRecord &record);

    Offset nextOffset() const { return this->next; }
    const SlotLayout &layout() const { return this->serviceLayout; }

    // Returns the slot and owner of a key hash, or nothing for a service that never had a session.
    std::optional<SlotView> find(std::string_view service, std::uint64_t keyHash) const;

    // Returns the slot, or nullptr for an unknown service or slot.
    const SlotState *findSlot(std::string_view service, Slot slot) const;
    const ServiceState *findService(std::string_view service) const;

    // Returns the session, or nullptr. A released session is dropped once no slot refers to it and
    // its node has a newer session.
    const Session *findSession(SessionId session) const;

    // Returns the newest session of a node, ended or not, or nullptr.
    const Session *findNode(std::string_view node) const;

    // Returns the keys that currently map to a slot.
    SlotKeys keysOf(std::string_view service, Slot slot) const;

    // Returns a dedicated slot of the service without a bound key, or nothing.
    std::optional<Slot> findFreeDedicatedSlot(std::string_view service) const;

    // Returns the active sessions (those that have not ended), in ascending order of id.
    std::vector<const Session *> members() const;

    const std::map<SessionId, Session> &allSessions() const { return this->sessions; }
    const std::map<std::string, ServiceState, std::less<>> &allServices() const
    {
        return this->services;
    }
    const RulesState &rules() const { return this->currentRules; }

    // Returns the crash count of the fingerprint, or nullptr.
    const CrashState *findCrash(std::uint64_t fingerprint) const;

    const CrashCounts &allCrashes() const { return this->crashes; }

    // Returns the whole state as checkpoint parts; the record of each part has at most 64 KiB.
    std::vector<wire::Checkpoint> makeCheckpoint() const;

    // Restores a state from all parts in order. Error: Internal, if the parts are inconsistent.
    static absl::StatusOr<ClusterState> loadCheckpoint(const std::vector<wire::Checkpoint> &parts,
                                                       SlotLayout layout = {});

private:
    void applyJoin(const wire::LogRecord &record, ApplyResult &result);
    void applyFence(const wire::LogRecord &record, ApplyResult &result);
    void applyLeave(const wire::LogRecord &record, ApplyResult &result);
    void applyReleased(const wire::LogRecord &record, ApplyResult &result);
    void applyMove(const wire::LogRecord &record, ApplyResult &result);
    void applyBind(const wire::LogRecord &record, ApplyResult &result);
    void applyUnbind(const wire::LogRecord &record, ApplyResult &result);
    void applyPeers(const wire::LogRecord &record, ApplyResult &result);
    void applyPeersSettled(const wire::LogRecord &record, ApplyResult &result);
    void applyRules(const wire::LogRecord &record, ApplyResult &result);
    void applyCrashSuspect(const wire::LogRecord &record, ApplyResult &result);

    Session *findActive(SessionId session);
    void assign(const std::string &service, ServiceState &state, Slot slot, SessionId to,
                ApplyResult &result);
    void assignUnowned(const Session &session, ApplyResult &result);
    void addPredecessor(SlotState &slot, Predecessor predecessor);
    void removePredecessor(SlotState &slot, SessionId session);
    void clearPredecessors(SlotState &slot);
    void addLineage(SlotState &slot, SessionId session);
    void endSessions(const std::vector<SessionId> &ended, bool withLineage, ApplyResult &result);
    void reassign(const std::string &service, ServiceState &state, bool withLineage,
                  ApplyResult &result);
    void addReference(SessionId session);
    void dropReference(SessionId session);
    void dropIfUnused(SessionId session);
    void dropOldestCrash();
    wire::ClusterSnapshot makeSnapshot() const;
    absl::Status restore(const wire::ClusterSnapshot &snapshot);
    absl::Status restoreService(const wire::ServiceSnapshot &snapshot);
    void restoreSession(const wire::SessionSnapshot &snapshot);

    SlotLayout serviceLayout;
    Offset next = 0;
    std::map<SessionId, Session> sessions;
    std::map<std::string, SessionId, std::less<>> nodes; // newest session of each node
    std::map<std::string, ServiceState, std::less<>> services;
    RulesState currentRules;
    CrashCounts crashes;
    std::uint64_t crashOrder = 0;
};

} // namespace kumquat
