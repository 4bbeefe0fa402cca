// Decides until when a process that received SIGTERM accepts requests and when it exits.
//
//   ShutdownSchedule schedule(settings, now);
//   if (!schedule.acceptsRequest(deadline, now)) { ... refuse, the request has not run ... }
//   if (schedule.mustAbort(now)) { ... answer the remaining requests ... }
//   if (schedule.mayExit(now, unanswered)) { ... exit ... }
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace kumquat {

struct ShutdownSettings
{
    Duration limit{}; // between SIGTERM and SIGKILL
    // Time before SIGKILL at which requests that still run are aborted and answered.
    Duration margin = 600ms;
    Duration flushTime = 400ms; // time to send the answers of aborted requests
    double acceptShare = 0.5; // share of `limit` in which requests are accepted that may outlast it
    // The platform stops sending new callers after two readiness probes, one per second, without a
    // 200.
    Duration minDuration = 2500ms;
};

class ShutdownSchedule
{
public:
    ShutdownSchedule(ShutdownSettings shutdownSettings, Time stopRequestedAt)
        : abortAt(stopRequestedAt + shutdownSettings.limit - shutdownSettings.margin)
        , exitAt(this->abortAt + shutdownSettings.flushTime)
        , idleExitAt(std::min(stopRequestedAt + shutdownSettings.minDuration, this->abortAt))
        , acceptsAllUntil(
                  std::min(this->idleExitAt,
                           stopRequestedAt
                                   + std::chrono::duration_cast<Duration>(
                                           shutdownSettings.limit * shutdownSettings.acceptShare)))
    {}

    // Returns whether to accept a new request that is answered by `deadline`. Short requests are
    // accepted until the end, because requests that run at the upstream make them and fail without
    // them. While callers cannot have noticed the shutdown yet, longer requests are accepted as
    // well: most work ends long before its deadline.
    bool acceptsRequest(Time deadline, Time now) const
    {
        return now < this->acceptsAllUntil || deadline <= this->abortAt;
    }

    // Returns whether requests in flight have to be answered now.
    bool mustAbort(Time now) const { return now >= this->abortAt; }

    // `unanswered`: number of requests in flight and of answers that are not sent yet.
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
