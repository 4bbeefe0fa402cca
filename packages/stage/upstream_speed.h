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
    // The hooks refer to this object and to the metrics.
    SpeedHooks hooks(Metrics &metrics);

    // Applies the remaining cold time of the upstream. Its speed is not learned while it is cold.
    void noteHeartbeat(Duration coldLeft, Time now) { this->coldUntil = now + coldLeft; }

    std::uint32_t usableSlots() const { return this->meter.usableSlots(); }

private:
    void noteEnded(const wire::Execute &execute, const RunEnd &end, Metrics &metrics, Time now);
    void reportChange(Metrics &metrics);

    SpeedMeter meter;
    Time coldUntil{};
};

} // namespace kumquat
