// Measures the speed of the upstream beside this process, with log lines and metrics.
//
//   UpstreamSpeed speed;
//   ExecutorHooks hooks{.speed = speed.hooks(metrics)};
//   speed.noteHeartbeat(heartbeat.coldLeft, now);
#pragma once

#include "admission/speed_meter.h"
#include "stage/metrics.h"
#include "stage/speed_hooks.h"

namespace kumquat {

// Used on fibers of one thread.
class UpstreamSpeed
{
public:
    // `learnsConcurrency`: lower limits than the announced slots are tried and applied.
    explicit UpstreamSpeed(bool learnsConcurrency)
        : triesLimits(learnsConcurrency)
    {}

    // The hooks refer to this object and to the metrics.
    SpeedHooks hooks(Metrics &metrics);

    // Applies the remaining cold time of the upstream. Its speed is not learned while it is cold.
    void noteHeartbeat(Duration coldLeft, Time now) { this->coldUntil = now + coldLeft; }

    // Says whether this instance of the upstream tells its load in its answers. Only then may
    // limits be tried and requests be held back for their calls.
    bool reportsLoad() const { return this->hasFigures; }

    // Returns whether the upstream runs fewer requests than it can usefully run at a time.
    bool hasFreeSlot() const { return this->meter.running() < this->meter.concurrencyLimit(); }

private:
    void noteEnded(const wire::Execute &execute, const RunEnd &end, Metrics &metrics, Time now);
    void reportChange(Metrics &metrics);

    const bool triesLimits;
    SpeedMeter meter;
    std::uint32_t slots = 0; // announced
    bool hasFigures = false;
    Time coldUntil{};
};

} // namespace kumquat
