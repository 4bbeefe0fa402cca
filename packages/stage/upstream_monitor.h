// Tracks the state of the upstream beside this process by its heartbeats and by the results of
// calls to it.
//
//   if (monitor.applyHeartbeat(beat, now) == HeartbeatEffect::Changed) { ... tell others ... }
//   if (monitor.mayServe(now)) { ... send it a request ... }
#pragma once

#include "base/names.h"
#include "keyspace/instance_history.h"
#include "keyspace/lease.h"
#include "platform/upstream.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace kumquat {

enum class HeartbeatEffect : std::uint8_t {
    Ignored,  // the heartbeat is out of order or of an earlier instance
    Accepted, // the heartbeat is the newest one
    Changed,  // accepted; the instance, the phase or the slots have changed
};

inline constexpr NameTable<HeartbeatEffect, 3> heartbeatEffectNames{
        {{{HeartbeatEffect::Ignored, "ignored"},
          {HeartbeatEffect::Accepted, "taken"},
          {HeartbeatEffect::Changed, "changed"}}}};

// What an earlier process on this host recorded in the store about the upstream.
struct RecordedUpstream
{
    UpstreamInstance instance; // not known: nothing is recorded
    UpstreamPhase phase = UpstreamPhase::Absent;
    bool isLeaving = false; // the instance has announced that it will end
    InstanceHistory history;
};

struct MonitorSettings
{
    // Added to the maximum hold, because a hold lasts longer if the upstream's clock is slow.
    static constexpr Duration endedSlack = 150ms;

    std::string service; // of the upstream beside this process
    Address upstream;
    Duration drainPeriod{}; // the platform allows no requests later than this after a drain began
    Duration endedAfter = LeaseSettings{}.length + endedSlack; // time without a listener
    // A heartbeat of an instance that this process does not know may be the first one of a later
    // instance or a late one of an earlier instance. If nothing shows that the current instance has
    // ended, it is accepted only after this silence of the current one.
    Duration replacedAfter = 2500ms;
    // An instance that counts as replaced is accepted again after the same silence and after this
    // many heartbeats. Late heartbeats, in contrast, arrive while the current one sends its own.
    std::uint32_t replacingHeartbeats = 3;
    double drainShare = 0.8; // of `drainPeriod`, after which no more requests are sent
    // An earlier process may have run on this host: the upstream is not used before restore().
    bool awaitsRecord = false;
    // Unanswered calls after which the upstream counts as failing.
    std::uint32_t maxConsecutiveFailures = 3;
};

// Not thread-safe.
class UpstreamMonitor
{
public:
    explicit UpstreamMonitor(MonitorSettings monitorSettings)
        : settings(std::move(monitorSettings))
    {}

    // Says whether a heartbeat may come from the upstream beside this process. Another sender may
    // send one with another service or address; if its start time were later, the heartbeats of the
    // upstream would be ignored from then on.
    bool isOwn(const platform::Heartbeat &beat) const;

    // Sets the maximum duration of one grant. An instance without a listener counts as ended only
    // after this time plus `endedSlack`.
    void setMaxHold(Duration maxHold);

    // Applies the record of this host, read from the store after the start of the process. A late
    // heartbeat of an instance that had left or ended by then is not taken for a current one.
    void restore(const RecordedUpstream &recorded, Time now);

    // Applies a record of this host that was found after restore(). A leave is final, so it also
    // counts if the instance has sent heartbeats meanwhile. Returns whether that is new.
    bool noteRecordedLeave(const UpstreamInstance &instance, Time now);

    bool isRestored() const { return !this->settings.awaitsRecord; }

    // Applies a heartbeat. It is ignored if it is older than the last one or may be of an earlier
    // instance, and before restore().
    HeartbeatEffect applyHeartbeat(const platform::Heartbeat &beat, Time now);

    // Notes that nothing listens on the upstream's address. Nothing may be granted to it until it
    // sends a heartbeat again.
    void noteRefused(Time now);

    // Marks the instance as ended if nothing has listened on its address for `endedAfter`. A
    // refused connection may be a false alarm, so the last grants must have expired as well.
    // Returns true if the instance has just ended.
    bool advance(Time now);

    // Notes a call with an answer of any kind, or a call without an answer.
    void noteAnswer() { this->failures = 0; }
    void noteUnanswered()
    {
        ++this->failures;
        this->mayHaveEnded = true;
    }

    // Notes that a connection to the upstream broke during a call.
    void noteConnectionLost() { this->mayHaveEnded = true; }

    // Says whether requests may be sent to the upstream.
    bool mayServe(Time now) const;

    bool isFailing() const { return this->failures >= this->settings.maxConsecutiveFailures; }
    bool isRefusing() const { return this->refusedAt.has_value(); }
    bool isKnown() const { return this->current.has_value(); }
    bool isLeaving() const { return this->hasLeft; }
    UpstreamPhase phase() const;
    const UpstreamInstance &instance() const { return this->lastInstance; }
    const InstanceHistory &history() const { return this->instanceHistory; }
    std::uint32_t slots() const { return this->current ? this->current->slots : 1; }

private:
    // An instance that counts as replaced, but still sends heartbeats.
    struct Candidate
    {
        UpstreamInstance instance;
        std::uint64_t sequence = 0;
        std::uint32_t heartbeats = 0; // since the last one of the current instance
    };

    bool isLaterInstance(const platform::Heartbeat &beat, Time now);
    bool returnsAfterSilence(const platform::Heartbeat &beat, Time now);
    bool hasCurrentEnded(const UpstreamInstance &other) const;

    MonitorSettings settings;
    std::optional<platform::Heartbeat> current;
    Time currentAt{};
    Candidate candidate;
    UpstreamInstance lastInstance;
    InstanceHistory instanceHistory;
    UpstreamPhase lastPhase = UpstreamPhase::Absent;
    bool hasLeft = false; // the last instance has announced that it will end, which is final
    Time drainingSince{};
    std::optional<Time> refusedAt; // time since which nothing listens
    std::uint32_t failures = 0;    // consecutive unanswered calls
    bool mayHaveEnded = false;     // a call has failed since the last heartbeat
};

} // namespace kumquat
