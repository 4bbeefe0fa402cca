// Limits for requests in front of the upstream beside this process.
#pragma once

#include "traffic/limiter.h"
#include "wire/stage.pb.h"

namespace kumquat {

// Limiter settings for the queue in front of the upstream. The upstream announces how many requests
// it runs at a time, and only this process sends it requests, so neither latency nor a lost answer
// lowers the limit. Refusals lower it by one or two slots at most, because new connections may hold
// that many. A lower limit would not help: an upstream that sheds a share of its requests sheds the
// same share of fewer requests. A request waits if it is likely to be answered in time. Where most
// work takes nearly as long as callers wait, a stricter bound would keep all requests out of the
// queue and so lose the order of the queue.
inline constexpr LimiterSettings upstreamLimiter{.maxWaiting = 64,
                                                 .maxQueueTime = 1200ms,
                                                 .decrease = 1,
                                                 .refusalDecrease = 0.9,
                                                 .timeoutDecrease = 1,
                                                 .silentTimeouts = 12,
                                                 .minLimitShare = 0.8,
                                                 .tolerance = 1e9,
                                                 .initialServiceTime = 60ms,
                                                 .serviceTimeDeviations = 1};

// Returns the place of a request in the queue. Calls go first: the requests that made them hold
// slots until they are answered.
inline std::uint32_t rankOf(const wire::Execute &execute)
{
    return execute.is_call() ? 0 : execute.priority() + 1;
}

} // namespace kumquat
