// When a process that was told to stop takes its last request and when it exits.
//
//   StopPlan plan(settings, now);
//   if (!plan.takesRequest(deadline, now)) { ... refuse, the request has not run ... }
//   if (plan.mayExit(now, inFlight)) { ... exit ... }
#pragma once

#include "base/time.h"

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
    StopPlan(StopSettings stopSettings, Time told)
        : exitAt(told + stopSettings.limit - stopSettings.margin)
        , idleExitAt(told + stopSettings.least)
    {}

    // Says whether a new request that has an answer by `deadline` is taken. Short ones are taken
    // until the end: requests that run at the upstream make them and fail without them.
    bool takesRequest(Time deadline, Time now) const
    {
        return now < this->idleExitAt || deadline <= this->exitAt;
    }

    bool mayExit(Time now, std::size_t inFlight) const
    {
        return now >= this->exitAt || (now >= this->idleExitAt && inFlight == 0);
    }

private:
    Time exitAt;
    Time idleExitAt;
};

} // namespace kumquat
