// Calls a hook on one thread at a due time. It serves classes that read no clock and only report
// when they are due next.
//
//   DueTimer timer(thread, [&](Time now) { part.advance(now); });
//   timer.arm(part.nextDue());     // from any thread, after each call of the part
#pragma once

#include "net/fibers.h"

#include <atomic>
#include <functional>
#include <optional>

namespace kumquat {

class DueTimer
{
public:
    DueTimer(FiberThread &thread, std::function<void(Time now)> hook);

    // Makes sure that the hook runs at `due` or soon after. Does nothing if the timer is already
    // armed for an earlier time. Callable from any thread.
    void arm(std::optional<Time> due);

private:
    void armOnThread(Time due);

    FiberThread &thread;
    std::function<void(Time now)> hook;
    asio::steady_timer timer;
    std::atomic<Duration::rep> armedFor;
};

} // namespace kumquat
