#include "stage/ticker.h"

#include "base/containment.h"

#include <algorithm>

namespace kumquat {

Ticker::Ticker(asio::io_context &io)
    : timer(io)
{}

TimerId Ticker::every(Duration period, TimerHook hook)
{
    const TimerId id = this->timers.subscribeEvery(period, readBootTime(), std::move(hook));
    this->arm();
    return id;
}

TimerId Ticker::after(Duration delay, TimerHook hook)
{
    const TimerId id = this->timers.subscribeAt(readBootTime() + delay, std::move(hook));
    this->arm();
    return id;
}

void Ticker::arm()
{
    const std::optional<Time> due = this->timers.nextDue();
    if (!due || *due >= this->armedFor) {
        return;
    }
    this->armedFor = *due;
    this->timer.expires_after(std::max(*due - readBootTime(), Duration::zero()));
    this->timer.async_wait([this](const ErrorCode &error) {
        if (error) {
            return; // cancelled: the timer was armed again for an earlier time
        }
        this->armedFor = Time::max();
        runContained(ContainedWork::Timer, [this] { this->timers.advance(readBootTime()); });
        this->arm(); // what this round has left is due at once
    });
}

} // namespace kumquat
