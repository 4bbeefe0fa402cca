// Spreads the retry times of callers that are refused for the same reason, so that they come back
// one after another as room appears.
//
//   Duration retryAfter = spread.next(wait, timeOfOneRequest, now);
#pragma once

#include "base/time.h"

#include <algorithm>

namespace kumquat {

// Not thread-safe.
class RetrySpread
{
public:
    // Returns the retry time of a refused caller: at least `wait`, and at least `step` after the
    // caller before it. Times beyond `maxRetry` are not spread further.
    Duration next(Duration wait, Duration step, Time now)
    {
        this->nextFree = std::max(this->nextFree, now + wait);
        const Duration result = this->nextFree - now;
        this->nextFree = std::min(this->nextFree + step, now + std::max(wait, maxRetry));
        return result;
    }

private:
    // Callers wait no longer than some seconds; the limiter uses the same bound.
    static constexpr Duration maxRetry = 2s;

    Time nextFree{}; // time that the next refused caller is told
};

} // namespace kumquat
