// How requests are limited in front of the upstream beside this process.
#pragma once

#include "traffic/limiter.h"

namespace kumquat {

// Queue in front of the upstream. The upstream announces how many requests it runs at a time, and
// only this process sends it any, so neither latency nor a lost answer lowers the limit. Refusals
// lower it by one or two slots at most, which new connections may hold: an upstream that sheds a
// share of its requests sheds the same share of fewer. A request waits if it is likely to be in
// time: where most work takes nearly as long as callers wait, a surer bound would close the queue,
// and the order of the queue would be lost.
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

} // namespace kumquat
