// Follows the upstream beside this process by its heartbeats and by what calls to it show.
//
//   if (monitor.applyHeartbeat(beat, now)) { ... something that others must know has changed ... }
//   if (monitor.mayServe(now)) { ... send it a request ... }
#pragma once

#include "base/names.h"
#include "keyspace/lease.h"
#include "platform/upstream.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace kumquat {

enum class HeartbeatEffect : std::uint8_t {
    Ignored, // it is late or of an earlier life
    Taken,   // it is the newest one
    Changed, // and the life, the phase or the slots are others than before
};

inline constexpr NameTable<HeartbeatEffect, 3> heartbeatEffectNames{
        {{{HeartbeatEffect::Ignored, "ignored"},
          {HeartbeatEffect::Taken, "taken"},
          {HeartbeatEffect::Changed, "changed"}}}};

struct MonitorSettings
{
    // Added to the longest hold, which an upstream's slow clock stretches.
    static constexpr Duration endedSlack = 150ms;

    std::string service; // of the upstream beside this process
    Address upstream;
    Duration drain{}; // bound of the platform for requests after a goodbye
    Duration endedAfter = LeaseSettings{}.length + endedSlack; // without a listener
    // The time of day may have gone back before an upstream started again, so a life that seems to
    // be an earlier one is taken after this silence of the present one and so many heartbeats. Late
    // ones of a former life come while the present one sends its own.
    Duration replacedAfter = 2500ms;
    std::uint32_t replacingHeartbeats = 3;
    double drainShare = 0.8;         // of it after which nothing more is sent
    std::uint32_t failuresInRow = 3; // unanswered calls after which the upstream counts as failing
};

// Not thread-safe.
class UpstreamMonitor
{
public:
    explicit UpstreamMonitor(MonitorSettings monitorSettings)
        : settings(std::move(monitorSettings))
    {}

    // Says whether a heartbeat may be of the upstream beside this process. Another writer may send
    // one with another service or address, and a later birth would hide the upstream for good.
    bool isOwn(const platform::Heartbeat &beat) const;

    // Takes the longest time of one grant, after which a life without a listener may be over.
    void setLongestHold(Duration longestHold);

    // Takes a heartbeat. Older ones than the last, and those of an earlier life, are ignored.
    HeartbeatEffect applyHeartbeat(const platform::Heartbeat &beat, Time now);

    // Notes that nothing listens on the upstream's address. Nothing may be granted to it until it
    // sends a heartbeat again.
    void noteRefused(Time now);

    // Ends the life of an upstream on whose address nothing has listened for the longest hold: a
    // refusal may be a mistake, so its last grants must be over as well. Returns true if it ended.
    bool advance(Time now);

    // Notes an answer, of whatever kind, or a call without one.
    void noteAnswer() { this->failures = 0; }
    void noteSilence() { ++this->failures; }

    // Says whether requests may be sent to the upstream.
    bool mayServe(Time now) const;

    bool isFailing() const { return this->failures >= this->settings.failuresInRow; }
    bool isRefusing() const { return this->refusedAt.has_value(); }
    bool isKnown() const { return this->current.has_value(); }
    UpstreamPhase phase() const;
    const UpstreamInstance &life() const { return this->lastLife; }
    std::uint32_t slots() const { return this->current ? this->current->slots : 1; }

private:
    // A life that was born before the present one by its own clock, and goes on to be heard.
    struct Claimant
    {
        UpstreamInstance life;
        std::uint64_t sequence = 0;
        std::uint32_t heartbeats = 0; // since the last one of the present life
    };

    bool isSilentLifeReplaced(const platform::Heartbeat &beat, Time now);

    MonitorSettings settings;
    std::optional<platform::Heartbeat> current;
    Time currentAt{};
    Claimant claimant;
    UpstreamInstance lastLife;
    UpstreamPhase lastPhase = UpstreamPhase::Absent;
    Time drainingSince{};
    std::optional<Time> refusedAt; // since when nothing listens
    std::uint32_t failures = 0;    // in a row
};

} // namespace kumquat
