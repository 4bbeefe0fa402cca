// Helpers for tests of connections between processes.
#pragma once

#include "net/fibers.h"
#include "stage/link.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>

namespace kumquat {

// Passes the outcome of one call to the thread of the test.
class CallResult
{
public:
    void set(CallOutcome value)
    {
        const std::lock_guard lock(this->mutex);
        this->outcome = value;
        this->changed.notify_all();
    }

    // Returns nothing if the call has not ended after 5 s.
    std::optional<CallOutcome> wait()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, 5s, [this] { return this->outcome.has_value(); });
        return this->outcome;
    }

    bool isSet()
    {
        const std::lock_guard lock(this->mutex);
        return this->outcome.has_value();
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<CallOutcome> outcome;
};

// Runs a function on the thread and returns its result.
template <typename Function>
auto runOn(FiberThread &thread, const Function &function)
{
    std::promise<decltype(function())> result;
    thread.post([&] { result.set_value(function()); });
    return result.get_future().get();
}

} // namespace kumquat
