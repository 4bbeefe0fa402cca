// Calls a hook on one thread when something is due; parts that know only their next due time use
// it.
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

    // Makes sure that the hook runs at `due` or soon after. A later time than one already armed
    // changes nothing. Callable from any thread.
    void arm(std::optional<Time> due);

private:
    void armHere(Time due);

    FiberThread &thread;
    std::function<void(Time now)> hook;
    asio::steady_timer timer;
    std::atomic<Duration::rep> armedFor;
};

} // namespace kumquat
