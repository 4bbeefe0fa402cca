// When a process that was told to stop takes its last request and when it exits.
//
//   StopPlan plan(settings, now, longestTimeout);
//   if (!plan.takesRequests(now)) { ... refuse, the request has not run ... }
//   if (plan.mayExit(now, inFlight)) { ... exit ... }
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace kumquat {

struct StopSettings
{
    Duration limit{};        // between SIGTERM and SIGKILL
    Duration margin = 600ms; // of the limit that is left unused
    // The platform sends no new callers after two probes, one a second, without a 200.
    Duration least = 2500ms;
};

class StopPlan
{
public:
    // `longestTimeout`: after which each request has an answer.
    StopPlan(StopSettings stopSettings, Time told, Duration longestTimeout)
        : exitAt(told + stopSettings.limit - stopSettings.margin)
        , idleExitAt(told + stopSettings.least)
        , refuseAt(std::max(this->idleExitAt, this->exitAt - longestTimeout))
    {}

    // Says whether a new request can still be answered before the exit.
    bool takesRequests(Time now) const { return now < this->refuseAt; }

    bool mayExit(Time now, std::size_t inFlight) const
    {
        return now >= this->exitAt || (now >= this->idleExitAt && inFlight == 0);
    }

private:
    Time exitAt;
    Time idleExitAt;
    Time refuseAt;
};

} // namespace kumquat
