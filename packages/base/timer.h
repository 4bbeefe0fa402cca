// A timer service with subscriptions. It reads no clock: its caller passes the time to advance().
//
//   TimerService timers;
//   TimerId id = timers.subscribeEvery(400ms, now, [](Time now) { ... });
//   std::optional<Time> next = timers.nextDue(); // arm a system timer for this time
//   timers.advance(now);                         // calls the hooks that are due
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace kumquat {

using TimerId = std::uint64_t;
using TimerHook = std::function<void(Time now)>;

// Not thread-safe: use only on the thread that calls advance().
class TimerService
{
public:
    // Calls the hook once at `due` or later.
    TimerId subscribeAt(Time due, TimerHook hook);

    // Calls the hook every `period` (> 0); the first call is at now + period. Missed periods are
    // skipped.
    TimerId subscribeEvery(Duration period, Time now, TimerHook hook);

    // Ends a subscription; an unknown id is ignored.
    void unsubscribe(TimerId id);

    // Returns the earliest due time, or std::nullopt without subscriptions.
    std::optional<Time> nextDue() const;

    // Calls every hook that is due at `now`, in order of due time.
    void advance(Time now);

private:
    struct Subscription
    {
        TimerId id = 0;
        Duration period{}; // 0: called only once
        TimerHook hook;
    };

    TimerId lastId = 0;
    std::multimap<Time, Subscription> subscriptions; // by due time
};

} // namespace kumquat
