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
            this->thread.post([this, when = *due] { this->armHere(when); });
            return;
        }
    }
}

void DueTimer::armHere(Time due)
{
    if (due.count() != this->armedFor.load()) {
        return; // an earlier time was armed meanwhile and has its own post
    }
    // Asio's timers run on CLOCK_MONOTONIC; a distance in time is the same on both clocks unless
    // the host was suspended.
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
