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

// Timings of leases, fences and handovers (section 3 of docs/design.md).
struct LeaseTimings
{
    Duration lease = 1200ms;                // counted from the sending of a Renew
    Duration renewInterval = 400ms;         // between rounds of Renew messages
    Duration firstRenewInterval = 100ms;    // between rounds while a session has no lease
    Duration silenceTimeout = 850ms;        // without Renew before suspicion: two lost rounds
    Duration suspectInterval = 200ms;       // between repeated Suspect messages
    Duration fenceStagger = 100ms;          // delay for each suspecting peer of lower rank
    Duration fenceBatch = 20ms;             // fences that are due within this time share one record
    Duration peerSilenceTimeout = 3s;       // without Grant before a peer is replaced
    Duration appendRepeatInterval = 1s;     // before a record that was not read back is repeated
    Duration resendInterval = 250ms;        // before an unanswered message is sent again
    Duration drainServePeriod = 2500ms;     // a draining process accepts requests at most this long
    Duration drainLimit = 20s;              // a drain ends after this time at the latest
    Duration pauseThreshold = 300ms;        // a longer unplanned gap between inputs is a pause
    Duration rejoinDelay = 1s;              // before a new Join, if the last one was fenced at once
    Duration joinWithoutUpstreamDelay = 3s; // before a process without an upstream joins
    Duration releasedStagger = 500ms;       // between the first two owners that append Released
    Duration lostLeaseTimeout = 250ms;      // from a lease's end until its owner ends the session
    Duration peersWindowPerSession = 60ms;  // time to distribute Peers records, per ended session
    Duration replacedPeerRenewal = 2s; // Renew to replaced peers: they may read PeersSettled late
    Duration retention = 24h;          // of records in the log
    Duration checkpointJitter = 30s;   // maximum random delay before a checkpoint is appended
    double clockDrift = 0.01;          // bound of the rate error of a clock
};

// Safety rules. Only tests switch one off, to show that they detect the missing rule.
struct Guards
{
    bool leaseFromSending = true;    // a lease starts when Renew is sent, not when Grant arrives
    bool noGrantAfterEnd = true;     // a peer grants nothing after it has read the session's end
    bool releaseAfterReading = true; // a peer releases only after it has read the session's end
    bool releaseAfterGrants = true;  // a peer releases only after its last grant has expired
    bool allPredecessors = true;     // all predecessors must have stopped, not only the last one
    bool allPeerSets = true;         // all unsettled peer sets must release, not only the newest
    bool waitAfterRestart = true;    // a restarted peer waits for one lease
    bool readAfterRestart = true;    // a restarted peer reads to a log end queried after its start
    bool settleAfterLease = true; // a peer set is settled after leases of older sets have expired
    bool driftMargin = true;      // owners shorten and peers lengthen leases by the drift bound
};

struct EngineSettings
{
    std::string node; // name of the node, different on each host; not empty
    std::uint64_t incarnation = 0;
    std::string meshAddress;   // IP:port
    std::string callerAddress; // IP:port
    std::string adminAddress;  // IP:port
    std::string region;
    std::string dataCentre;
    LeaseTimings timings;
    SlotLayout layout;                   // the same in all processes
    std::size_t handoverBytes = 262'144; // of remembered requests in one Handover message
    Guards guards;
};

// ---- hooks ----

// The engine calls the hooks on its own thread, while it processes an input.
struct EngineHooks
{
    // Returns whether a request for one of the keys was dispatched here and has neither ended nor
    // expired.
    std::function<bool(const SlotKeys &)> hasInFlight;

    // Returns whether any request of the service is in flight here.
    std::function<bool(const std::string &service)> hasAnyInFlight;

    // Returns the remembered requests of the keys.
    std::function<std::vector<wire::RememberedRequest>(const SlotKeys &)> remembered;

    // Imports remembered requests; may get the same request twice.
    std::function<void(const std::string &service, const std::vector<wire::RememberedRequest> &)>
            importRemembered;

    // Imports the crash counts of a checkpoint that replaced the state, because the records that a
    // checkpoint covers are never read. Optional.
    std::function<void(const CrashCounts &)> importCrashes;

    // Gets every input before the engine processes it. Optional.
    std::function<void(const wire::TraceEvent &)> trace;
};

// ---- inputs ----

// The announcement of an upstream.
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
    std::string meshAddress; // address of the node's newest session, IP:port
    wire::MeshMessage message;
};

// Messages to send and records to append since the last call. Keep the order within each list.
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
    Epoch epoch = 0;      // fencing token for the upstream
    Time leaseEnd{0};     // the request must not run after this time
    bool waiting = false; // this process owns the slot but cannot serve it yet (NoOwner, Draining)
};

// The process that owns a key, as far as this process has read the log.
struct RouteAnswer
{
    std::string node; // empty: no owner
    std::string meshAddress;
    Slot slot = 0;
    SessionId session = 0;
    Epoch epoch = 0;
    bool own = false; // this process is the owner
};

// A peer of this process's session.
struct PeerView
{
    std::string node;
    std::string meshAddress;
    std::uint64_t incarnation = 0; // from the last Grant; 0 before the first one
    bool journalComplete = false;  // reported for this incarnation
};

// The session of this process, with its peer sets since the last settled one.
struct OwnSession
{
    SessionId session = 0; // 0: no session
    std::uint32_t generation = 0;
    std::vector<PeerView> peers; // of the newest set
    std::vector<PeerSet> sets;   // oldest first
};

} // namespace kumquat
