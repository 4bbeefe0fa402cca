// Tells how much longer than usual a message was on its way, from the clocks of two hosts that do
// not agree. The usual time is the shortest one of late, so clocks that drift apart do not count.
//
//   Duration delayed = meter.excessDelay(receivedAt - sentAt, receivedAt);
#pragma once

#include "base/time.h"

#include <algorithm>

namespace kumquat {

// Not thread-safe.
class DelayMeter
{
public:
    // `difference`: of the receiver's clock at the receipt and the sender's at the sending.
    Duration excessDelay(Duration difference, Time now)
    {
        if (now - this->begunAt >= window) {
            const bool isNext = now - this->begunAt < 2 * window;
            this->shortestBefore = isNext ? this->shortest : Duration::max();
            this->shortest = Duration::max();
            this->begunAt = now;
        }
        this->shortest = std::min(this->shortest, difference);
        return difference - std::min(this->shortest, this->shortestBefore);
    }

private:
    // What is late for longer counts as slow. Clocks that are apart by a
    // hundredth drift by 200 ms in two windows.
    static constexpr Duration window = 10s;

    Time begunAt{};
    Duration shortest = Duration::max();       // in this window
    Duration shortestBefore = Duration::max(); // in the one before
};

} // namespace kumquat
