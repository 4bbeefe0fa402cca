#include "base/timer.h"

#include <algorithm>
#include <cassert>
#include <ctime>
#include <utility>

namespace kumquat {

Time readBootTime()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

WallTime readWallTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<WallTime>(now);
}

TimerId TimerService::subscribeAt(Time due, TimerHook hook)
{
    const TimerId id = ++this->lastId;
    this->subscriptions.emplace(due, Subscription{id, Duration::zero(), std::move(hook)});
    return id;
}

TimerId TimerService::subscribeEvery(Duration period, Time now, TimerHook hook)
{
    assert(period > Duration::zero() && "use subscribeAt for a single call");
    const TimerId id = ++this->lastId;
    this->subscriptions.emplace(now + period, Subscription{id, period, std::move(hook)});
    return id;
}

void TimerService::unsubscribe(TimerId id)
{
    const auto found = std::find_if(this->subscriptions.begin(), this->subscriptions.end(),
                                    [id](const auto &entry) { return entry.second.id == id; });
    if (found != this->subscriptions.end()) {
        this->subscriptions.erase(found);
    }
}

std::optional<Time> TimerService::nextDue() const
{
    if (this->subscriptions.empty()) {
        return std::nullopt;
    }
    return this->subscriptions.begin()->first;
}

void TimerService::advance(Time now)
{
    while (!this->subscriptions.empty() && this->subscriptions.begin()->first <= now) {
        auto node = this->subscriptions.extract(this->subscriptions.begin());
        // The hook is copied because it may end its own subscription.
        const TimerHook hook = node.mapped().hook;
        if (node.mapped().period > Duration::zero()) {
            node.key() = std::max(node.key() + node.mapped().period, now);
            if (node.key() <= now) {
                node.key() = now + node.mapped().period;
            }
            this->subscriptions.insert(std::move(node));
        }
        hook(now);
    }
}

} // namespace kumquat
