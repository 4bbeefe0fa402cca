// When a process that was told to stop takes its last request and when it exits.
//
//   StopPlan plan(settings, now);
//   if (!plan.takesRequest(deadline, now)) { ... refuse, the request has not run ... }
//   if (plan.breaksOff(now)) { ... answer what is left ... }
//   if (plan.mayExit(now, unanswered)) { ... exit ... }
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace kumquat {

struct StopSettings
{
    Duration limit{};         // between SIGTERM and SIGKILL
    Duration margin = 600ms;  // before SIGKILL; what runs then is broken off and answered
    Duration leaving = 400ms; // for these answers to leave
    double takingShare = 0.5; // of the limit in which requests are taken that may outlast it
    // The platform sends no new callers after two probes, one a second, without a 200.
    Duration least = 2500ms;
};

class StopPlan
{
public:
    StopPlan(StopSettings stopSettings, Time told)
        : breakAt(told + stopSettings.limit - stopSettings.margin)
        , exitAt(this->breakAt + stopSettings.leaving)
        , idleExitAt(std::min(told + stopSettings.least, this->breakAt))
        , takesAllUntil(std::min(this->idleExitAt,
                                 told
                                         + std::chrono::duration_cast<Duration>(
                                                 stopSettings.limit * stopSettings.takingShare)))
    {}

    // Says whether a new request that has an answer by `deadline` is taken. Short ones are taken
    // until the end: requests that run at the upstream make them and fail without them. Before
    // callers can have noticed the stop, those that may outlast it are taken as well: most work is
    // over long before its deadline.
    bool takesRequest(Time deadline, Time now) const
    {
        return now < this->takesAllUntil || deadline <= this->breakAt;
    }

    // Says whether requests that are still in flight have to be answered now.
    bool breaksOff(Time now) const { return now >= this->breakAt; }

    // `unanswered`: requests in flight and answers that have not left yet.
    bool mayExit(Time now, std::size_t unanswered) const
    {
        return now >= this->exitAt || (now >= this->idleExitAt && unanswered == 0);
    }

private:
    Time breakAt;
    Time exitAt;
    Time idleExitAt;
    Time takesAllUntil;
};

} // namespace kumquat
