// Settings, hooks, inputs and outputs of the ownership engine.
// Sections: settings, hooks, inputs, outputs, answers.
#pragma once

#include "base/errors.h"
#include "base/time.h"
#include "ownership/cluster_state.h"
#include "wire/log.pb.h"
#include "wire/mesh.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace kumquat::wire {
class TraceEvent;
} // namespace kumquat::wire

namespace kumquat {

// ---- settings ----

// Times of section 3 of the design page.
struct LeaseTimings
{
    Duration lease = 1200ms;       // from the sending of a Renew
    Duration renewEvery = 400ms;   // between rounds of Renew
    Duration firstRenewal = 100ms; // between rounds while a session has no lease yet
    Duration silence = 850ms;      // without Renew until a session is suspected: two lost rounds
    Duration suspectEvery = 200ms; // between repeats of Suspect
    Duration fenceStagger = 100ms; // added for each peer of lower rank that suspects as well
    Duration fenceBatch = 20ms;    // fences due within this time share one record
    Duration peerSilence = 3s;     // without Grant until a peer is replaced
    Duration appendRepeat = 1s;    // until a record that has not been read is appended again
    Duration resend = 250ms;       // until an unanswered message is sent again
    Duration drainServe = 2500ms;  // a draining process takes new requests at most this long
    Duration drainLimit = 20s;     // a draining process ends after this time in any case
    Duration pauseGap = 300ms;     // a longer gap between inputs counts as a pause of the process
    Duration rejoinDelay = 1s;     // between the Joins of a session that was fenced at once
    Duration joinWithoutUpstream = 3s; // until a process without upstream joins
    Duration releasedTurn = 500ms;     // between the Released of the first and the second new owner
    Duration lostLease = 250ms;        // after its lease until an owner ends its own session
    Duration peersSpread = 60ms; // for each ended session: survivors spread Peers over this time
    Duration keepOldPeers = 2s;  // Renew to a replaced set, for peers that read PeersSettled late
    Duration retention = 24h;    // of the log's records
    Duration checkpointSpread = 30s; // random wait before a checkpoint is appended
    double drift = 0.01;             // bound of a clock's rate error
};

// Single safety rules, switched off by tests only to show that the tests notice.
struct Guards
{
    bool leaseFromSending = true;    // a lease counts from the sending of Renew
    bool noGrantAfterEnd = true;     // no grant once the session's end was read
    bool releaseAfterReading = true; // no release before the peer itself read the session's end
    bool releaseAfterGrants = true;  // no release while a grant still runs
    bool allPredecessors = true;     // every predecessor counts, not only the last one
    bool allPeerSets = true;         // every unsettled peer set counts, not only the newest
    bool waitAfterRestart = true;    // a restarted peer waits one lease
    bool readAfterRestart = true;    // a restarted peer reads to an end asked for after its start
    bool settleAfterLease = true;    // a peer set is settled when leases of older sets are over
    bool driftMargin = true;         // owners shorten, peers lengthen by the drift bound
};

struct EngineSettings
{
    std::string node; // unique per host, not empty
    std::uint64_t incarnation = 0;
    std::string meshAddress;   // IP:port
    std::string callerAddress; // IP:port
    std::string adminAddress;  // IP:port
    std::string region;
    std::string dataCentre;
    LeaseTimings timings;
    SlotLayout layout;                   // the same in all processes
    std::size_t handoverBytes = 262'144; // of remembered requests in one Handover
    Guards guards;
};

// ---- hooks ----

// Called on the engine's thread, from within its inputs.
struct EngineHooks
{
    // Whether a request for one of the keys was dispatched here and has neither ended nor expired.
    std::function<bool(const SlotKeys &)> hasInFlight;

    // Whether any request of the service is in flight here.
    std::function<bool(const std::string &service)> hasAnyInFlight;

    // The remembered requests of the keys.
    std::function<std::vector<wire::RememberedRequest>(const SlotKeys &)> remembered;

    // Takes over remembered requests; may see the same request twice.
    std::function<void(const std::string &service, const std::vector<wire::RememberedRequest> &)>
            importRemembered;

    // Takes the crash counts of a checkpoint that replaced the state; may be empty. The records
    // that a checkpoint covers are never read.
    std::function<void(const CrashCounts &)> importCrashes;

    // Sees every input before the engine takes it; may be empty.
    std::function<void(const wire::TraceEvent &)> trace;
};

// ---- inputs ----

// What an upstream announced.
struct UpstreamInfo
{
    std::string service; // not empty
    bool checksGrants = false;
    bool operator==(const UpstreamInfo &) const = default;
};

// ---- outputs ----

struct OutgoingMessage
{
    std::string node;
    std::string meshAddress; // of the node's newest session, IP:port
    wire::MeshMessage message;
};

// What the engine wants sent and appended since the last call. Order matters within each list.
struct EngineOutput
{
    std::vector<OutgoingMessage> messages;
    std::vector<wire::LogRecord> records;
};

// ---- answers ----

// Whether this process may run a request of a key now.
struct ServeAnswer
{
    ErrorKind error = ErrorKind::None; // NotOwner, NoOwner or Draining
    Slot slot = 0;
    Epoch epoch = 0;      // fence for the upstream
    Time leaseEnd{0};     // the request must not run after this time
    bool waiting = false; // with NoOwner: this process owns the slot and waits for proof or lease
};

// Which process owns a key, as far as this process has read the log.
struct RouteAnswer
{
    std::string node; // empty: no owner
    std::string meshAddress;
    Slot slot = 0;
    SessionId session = 0;
    Epoch epoch = 0;
    bool own = false; // this process is the owner
};

// A peer of the own session.
struct PeerView
{
    std::string node;
    std::string meshAddress;
    std::uint64_t incarnation = 0; // of the last Grant; 0 before the first
    bool journalComplete = false;  // as reported for this incarnation
};

// The own session with its peer sets since the last settled one.
struct OwnSession
{
    SessionId session = 0; // 0: no session
    std::uint32_t generation = 0;
    std::vector<PeerView> peers; // of the newest set
    std::vector<PeerSet> sets;   // oldest first
};

} // namespace kumquat
