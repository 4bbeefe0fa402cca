// Limits the requests that a cold upstream gets. An upstream is cold for some seconds after its
// start, and may become cold again at any moment; it crashes at a rate well above the one it
// tolerates. Only the process beside an upstream sends to it, so one gate there binds all hosts.
//
//   gate.setLimits({.perSecond = 15, .excess = 1.5, .slack = 8});
//   gate.noteState(heartbeat.coldLeft, now);
//   if (gate.wait(now) == Duration::zero()) { gate.noteSent(now); ... send ... }
#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>

namespace kumquat {

struct ColdLimits
{
    double perSecond = 0; // requests per second that a cold upstream tolerates; 0: no limit
    // In any second it may get at most `perSecond` x `excess` + `slack`.
    double excess = 1;
    double slack = 0;

    bool operator==(const ColdLimits &) const = default;
};

// Not thread-safe.
class ColdGate
{
public:
    void setLimits(const ColdLimits &newLimits);

    // Applies the remaining cold time of the newest heartbeat; 0: the upstream is warm.
    void noteState(Duration coldLeft, Time now);

    // Records a request that is sent now. Also needed while the upstream is warm: the requests of
    // the last second count when it becomes cold.
    void noteSent(Time now);

    bool isCold(Time now) const { return this->limits.perSecond > 0 && now < this->coldUntil; }

    double toleratedRate() const { return this->limits.perSecond; } // while cold, per second

    // Returns the time until the next request may be sent; 0: now.
    Duration wait(Time now) const;

private:
    std::size_t windowLimit() const;
    double sustainedRate() const;
    double tokens(Time now) const;

    ColdLimits limits;
    Time coldUntil{};
    std::deque<Time> sent; // the newest ones, at most windowLimit()
    double bucket = 0;     // tokens at `bucketAt`
    Time bucketAt{};
};

} // namespace kumquat
