#include "node/due_timer.h"

#include <algorithm>
#include <limits>

namespace kumquat {
namespace {

constexpr Duration::rep notArmed = std::numeric_limits<Duration::rep>::max();

} // namespace

DueTimer::DueTimer(FiberThread &timerThread, std::function<void(Time now)> timerHook)
    : thread(timerThread)
    , hook(std::move(timerHook))
    , timer(timerThread.io())
    , armedFor(notArmed)
{}

void DueTimer::arm(std::optional<Time> due)
{
    if (!due) {
        return;
    }
    Duration::rep armed = this->armedFor.load();
    while (due->count() < armed) {
        if (this->armedFor.compare_exchange_weak(armed, due->count())) {
            this->thread.post([this, when = *due] { this->armOnThread(when); });
            return;
        }
    }
}

void DueTimer::armOnThread(Time due)
{
    if (due.count() != this->armedFor.load()) {
        return; // an earlier time was armed in the meantime and has posted its own call
    }
    // Asio's timers use CLOCK_MONOTONIC. A duration is the same on it and on CLOCK_BOOTTIME unless
    // the host is suspended.
    this->timer.expires_after(std::max(due - readBootTime(), Duration::zero()));
    this->timer.async_wait([this](const ErrorCode &error) {
        if (error) {
            return;
        }
        this->armedFor = notArmed;
        this->hook(readBootTime());
    });
}

} // namespace kumquat
