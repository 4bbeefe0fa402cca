// The ownership engine decides which process serves a key.
#pragma once

#include "ownership/engine_types.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace kumquat {

// The engine is deterministic: it has no I/O, no clock and no threads. The caller passes the time
// with every input; it must not decrease. Call inputs and takeOutput() on one thread. Queries are
// const and may run on other threads under a shared lock while no input runs.
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
    // Error: SettingsInvalid, if the node, the incarnation or a required hook is missing, a timing
    // that is checked is not positive, or the clock drift is not from 0 to below 1.
    static absl::StatusOr<std::unique_ptr<OwnershipEngine>> create(EngineSettings settings,
                                                                   EngineHooks hooks);
    ~OwnershipEngine();

    // ---- inputs ----

    // Sets the hook that gets every input; call before start().
    void setTrace(std::function<void(const wire::TraceEvent &)> hook);

    // Starts the engine; call once, before all other inputs except setTrace().
    void start(Time now);

    // Processes a record of the log. Records at other offsets than nextOffset() are ignored.
    void onRecord(Offset offset, const wire::LogRecord &record, Time now);

    // Reports that all records before `end` were passed in, and that the end of the log was queried
    // at `askedAt`.
    void onLogEnd(Offset end, Time askedAt, Time now);

    // Reports the lowest offset that the log keeps. If it is above nextOffset(), records are lost:
    // the engine then searches for a checkpoint, and nextOffset() jumps.
    void onFirstKept(Offset firstKept, Time now);

    // Reports whether the log service answers appends and reads.
    void onLogAnswering(bool answering, Time now);

    // Processes a message of one of the engine's kinds (Renew, Grant, Suspect, ReleaseRequest,
    // ReleaseReply, Handover, HandoverRequest, HandoverAck). Returns false for any other message.
    bool onMessage(const wire::MeshMessage &message, Time now);

    // Performs all due work. Also call it when a request in flight has ended, to speed up a
    // handover.
    void onTick(Time now);

    // Sets the announcement of the upstream, or nothing if there is no upstream.
    void setUpstream(const std::optional<UpstreamInfo> &upstream, Time now);

    // Starts a drain, which hands over all slots and ends the session. It cannot be cancelled.
    void requestDrain(Time now);

    // Moves slots of this process to a session of the same service. Slots that this process does
    // not own, and unknown targets, are ignored.
    void requestMove(const std::vector<Slot> &slots, SessionId target, Time now);

    // Binds a key to a dedicated slot, or removes the binding. This process must own the key's
    // slot.
    void requestBind(std::uint64_t keyHash, Time now);
    void requestUnbind(std::uint64_t keyHash, Time now);

    // Reports that this incarnation of a peer has a complete journal: every request id of the
    // session of this process (section 4.2 of docs/design.md).
    void setJournalComplete(std::string_view peer, std::uint64_t incarnation, Time now);

    // ---- outputs ----

    // Returns the pending messages and records, and clears them.
    EngineOutput takeOutput();

    // Returns the time at which onTick() has work to do, or nothing.
    std::optional<Time> nextDue() const;

    // Returns the offset of the record that onRecord() expects.
    Offset nextOffset() const;

    // ---- queries ----

    // Returns whether this process may run a request of the key now. The caller must count the
    // request as in flight before the call, so that no handover starts between the answer and the
    // dispatch.
    ServeAnswer mayServe(std::string_view service, std::uint64_t keyHash, Time now) const;
    // Returns the owner of the key.
    RouteAnswer route(std::string_view service, std::uint64_t keyHash) const;

    // Returns the end of this process's lease, or a time before `now` if there is none. A session
    // without peers always has a full lease from `now` on.
    Time leaseEnd(Time now) const;

    // Returns whether this node, as a peer, has released the session. It must then accept no more
    // JournalWrite messages of the session.
    bool hasReleased(SessionId session) const;

    // Returns the session of this process with its peers; the session id is 0 if there is none.
    OwnSession ownSession() const;

    // Returns the time at which the end of a session was read. Returns the start of the process if
    // the end is only known from a checkpoint, and nothing for an active session.
    std::optional<Time> endReadAt(SessionId session) const;

    // Returns the sessions that lost the slot without a handover to this process. Their peers must
    // be queried for an unknown request id of the slot.
    std::vector<SessionId> journalSessions(std::string_view service, Slot slot) const;

    bool isDraining() const;
    bool isDrained() const;

    // Returns whether the log was read up to an end that was queried after the start.
    bool hasCaughtUp() const;

    // Returns whether the log has neither its first records nor a usable checkpoint.
    bool lacksHistory() const;

    const ClusterState &cluster() const;

private:
    class Parts;
    explicit OwnershipEngine(std::unique_ptr<Parts> owned);

    std::unique_ptr<Parts> parts;
};

} // namespace kumquat
