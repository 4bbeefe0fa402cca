// The ownership engine: the one aggregate that decides who serves a key.
#pragma once

#include "ownership/engine_types.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace kumquat {

// Deterministic: no I/O, no clock, no threads. Every input carries the time, which never decreases.
// Inputs and takeOutput() belong to one thread; queries are const and may run on other threads
// under a shared lock while no input runs.
//
//   auto engine = OwnershipEngine::create(settings, hooks).value();
//   engine->start(now);
//   engine->onRecord(engine->nextOffset(), record, now);
//   engine->onLogEnd(end, askedAt, now);
//   for (auto &message : engine->takeOutput().messages) { ... }
//   engine->mayServe("testlog", keyHash, now).error;
//   engine->nextDue(); // call onTick at this time
class OwnershipEngine
{
public:
    // Error: SettingsInvalid, if node or incarnation is missing or a timing is not positive.
    static absl::StatusOr<std::unique_ptr<OwnershipEngine>> create(EngineSettings settings,
                                                                   EngineHooks hooks);
    ~OwnershipEngine();

    // ---- inputs ----

    // Sets the hook that sees every input; call before start().
    void setTrace(std::function<void(const wire::TraceEvent &)> hook);

    // Starts the process; call once, first.
    void start(Time now);

    // Takes a record of the log. Only the record at nextOffset() is applied, others are ignored.
    void onRecord(Offset offset, const wire::LogRecord &record, Time now);

    // States that all records before `end` were given and that the end was asked for at `askedAt`.
    void onLogEnd(Offset end, Time askedAt, Time now);

    // States the lowest offset that the log keeps. If records before nextOffset() were lost,
    // the engine looks for a checkpoint and nextOffset() jumps.
    void onFirstKept(Offset firstKept, Time now);

    // States whether the log service answers appends and reads.
    void onLogAnswering(bool answering, Time now);

    // Takes a message of the engine's kinds (Renew, Grant, Suspect, ReleaseRequest, ReleaseReply,
    // Handover, HandoverRequest, HandoverAck); returns false for any other.
    bool onMessage(const wire::MeshMessage &message, Time now);

    // Does what is due; also call it when a request in flight ended, to speed up a handover.
    void onTick(Time now);

    // States what the upstream announced, or that there is no upstream.
    void setUpstream(const std::optional<UpstreamInfo> &upstream, Time now);

    // Leaves: hands over all slots and ends the session. Cannot be undone.
    void requestDrain(Time now);

    // Moves own slots to a session of the same service. Slots that are not owned, and unknown
    // targets, are ignored.
    void requestMove(const std::vector<Slot> &slots, SessionId target, Time now);

    // Gives a key of an own slot a dedicated slot, or takes the dedicated slot back.
    void requestBind(std::uint64_t keyHash, Time now);
    void requestUnbind(std::uint64_t keyHash, Time now);

    // States that this incarnation of a peer has every id of the own session (section 4.2).
    void setJournalComplete(std::string_view peer, std::uint64_t incarnation, Time now);

    // ---- outputs ----

    // Returns what to send and append, and clears it.
    EngineOutput takeOutput();

    // Returns the time at which onTick has something to do.
    std::optional<Time> nextDue() const;

    // Returns the offset of the record that onRecord expects.
    Offset nextOffset() const;

    // ---- queries ----

    // Count a request as in flight before asking, so that no handover passes between the answer and
    // the dispatch.
    ServeAnswer mayServe(std::string_view service, std::uint64_t keyHash, Time now) const;
    RouteAnswer route(std::string_view service, std::uint64_t keyHash) const;

    // Returns the end of the own lease; a time before `now` if there is none. A session without
    // peers always has one more lease.
    Time leaseEnd(Time now) const;

    // Returns whether this node, as a peer, has released the session: accept no more JournalWrite.
    bool hasReleased(SessionId session) const;

    // Returns the own session with its peers; session 0 without one.
    OwnSession ownSession() const;

    // Returns the time at which the end of a session was read, the start of the process for an end
    // that is only known from a checkpoint, or nothing for a session that goes on.
    std::optional<Time> endReadAt(SessionId session) const;

    // Returns the sessions whose peers must be asked for an unknown request id of the slot: those
    // that lost it without a handover to this process.
    std::vector<SessionId> journalSessions(std::string_view service, Slot slot) const;

    bool isDraining() const;
    bool isDrained() const;

    // Returns whether the log was read up to an end asked for after the start.
    bool hasCaughtUp() const;

    // Returns whether neither the log's beginning nor a usable checkpoint was found.
    bool lacksHistory() const;

    const ClusterState &cluster() const;

private:
    class Parts;
    explicit OwnershipEngine(std::unique_ptr<Parts> owned);

    std::unique_ptr<Parts> parts;
};

} // namespace kumquat
