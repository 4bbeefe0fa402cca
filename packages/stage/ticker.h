// Drives a TimerService from the clock of one thread.
//
//   Ticker ticker(thread.io());
//   ticker.every(400ms, [&](Time now) { ... });
#pragma once

#include "base/timer.h"
#include "net/fibers.h"

namespace kumquat {

// Used on the io_context's thread only.
class Ticker
{
public:
    explicit Ticker(asio::io_context &io);

    TimerId every(Duration period, TimerHook hook);
    TimerId after(Duration delay, TimerHook hook);
    void cancel(TimerId id) { this->timers.unsubscribe(id); }

private:
    void arm();

    TimerService timers;
    asio::steady_timer timer;
    Time armedFor = Time::max();
};

} // namespace kumquat
