// When a process that was stopRequestedAt to stop takes its last request and when it exits.
//
//   ShutdownSchedule schedule(settings, now);
//   if (!schedule.acceptsRequest(deadline, now)) { ... refuse, the request has not run ... }
//   if (schedule.mustAbort(now)) { ... answer what is left ... }
//   if (schedule.mayExit(now, unanswered)) { ... exit ... }
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace kumquat {

struct ShutdownSettings
{
    Duration limit{};         // between SIGTERM and SIGKILL
    Duration margin = 600ms;  // before SIGKILL; what runs then is broken off and answered
    Duration flushTime = 400ms; // for these answers to leave
    double acceptShare = 0.5; // of the limit in which requests are taken that may outlast it
    // The platform sends no new callers after two probes, one a second, without a 200.
    Duration minDuration = 2500ms;
};

class ShutdownSchedule
{
public:
    ShutdownSchedule(ShutdownSettings shutdownSettings, Time stopRequestedAt)
        : abortAt(stopRequestedAt + shutdownSettings.limit - shutdownSettings.margin)
        , exitAt(this->abortAt + shutdownSettings.flushTime)
        , idleExitAt(std::min(stopRequestedAt + shutdownSettings.minDuration, this->abortAt))
        , acceptsAllUntil(std::min(this->idleExitAt,
                                 stopRequestedAt
                                         + std::chrono::duration_cast<Duration>(
                                                 shutdownSettings.limit * shutdownSettings.acceptShare)))
    {}

    // Says whether a new request that has an answer by `deadline` is taken. Short ones are taken
    // until the end: requests that run at the upstream make them and fail without them. Before
    // callers can have noticed the stop, those that may outlast it are taken as well: most work is
    // over long before its deadline.
    bool acceptsRequest(Time deadline, Time now) const
    {
        return now < this->acceptsAllUntil || deadline <= this->abortAt;
    }

    // Says whether requests that are still in flight have to be answered now.
    bool mustAbort(Time now) const { return now >= this->abortAt; }

    // `unanswered`: requests in flight and answers that have not left yet.
    bool mayExit(Time now, std::size_t unanswered) const
    {
        return now >= this->exitAt || (now >= this->idleExitAt && unanswered == 0);
    }

private:
    Time abortAt;
    Time exitAt;
    Time idleExitAt;
    Time acceptsAllUntil;
};

} // namespace kumquat
