// Measures how much longer than usual a message was in transit, from the clocks of two hosts that
// need not agree. The usual time is the shortest one of the last two windows, so a drift between
// the clocks does not count as delay.
//
//   Duration delay = meter.measureExcess(receivedAt - sentAt, receivedAt);
#pragma once

#include "base/time.h"

#include <algorithm>

namespace kumquat {

// Not thread-safe.
class DelayMeter
{
public:
    // `difference`: the clock of the receiver at receipt minus the clock of the sender at sending.
    Duration measureExcess(Duration difference, Time now)
    {
        if (now - this->windowStartedAt >= window) {
            const bool isNext = now - this->windowStartedAt < 2 * window;
            this->previousMinDifference = isNext ? this->minDifference : Duration::max();
            this->minDifference = Duration::max();
            this->windowStartedAt = now;
        }
        this->minDifference = std::min(this->minDifference, difference);
        return difference - std::min(this->minDifference, this->previousMinDifference);
    }

private:
    // A delay that lasts longer than this becomes the usual time. Clocks whose rates differ by 1 %
    // drift by 200 ms in two windows.
    static constexpr Duration window = 10s;

    Time windowStartedAt{};
    Duration minDifference = Duration::max();         // in the current window
    Duration previousMinDifference = Duration::max(); // in the window before
};

} // namespace kumquat
