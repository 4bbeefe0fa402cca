// Boost.Fiber over Boost.Asio: one io_context per thread, no polling.
//
//   FiberThread thread("worker-0");                     // runs its own io_context
//   thread.start();
//   thread.spawn([&] {                                  // from any thread: a new fiber there
//       error_code error = awaitOperation([&](auto done) { socket.async_connect(endpoint, done);
//       });
//   });
//
// Sections: awaiting operations, FiberThread, FiberEvent.
#pragma once

#include "base/time.h"

#include <utility> // Asio 1.74 uses std::exchange without including it

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace kumquat {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

// ---- Awaiting operations ----

// Result of an asynchronous operation: the error and, for reads and writes, the bytes moved.
struct OperationResult
{
    ErrorCode error;
    std::size_t bytes = 0;
};

// Starts an operation and suspends the calling fiber until its completion handler ran. `start`
// gets a handler that takes (error) or (error, bytes). Call on a FiberThread only; the handler
// must run on the same thread, as Asio's handlers do.
template <typename Start>
OperationResult awaitOperation(Start &&start)
{
    OperationResult result;
    boost::fibers::context *waiting = boost::fibers::context::active();
    start([&result, waiting](ErrorCode error, std::size_t bytes = 0) {
        result = OperationResult{error, bytes};
        boost::fibers::context::active()->schedule(waiting);
    });
    waiting->suspend();
    return result;
}

// Suspends the calling fiber for a time.
void sleepFor(asio::io_context &io, Duration duration);

// ---- FiberThread ----

// A thread with an io_context and a fiber scheduler that runs its handlers.
class FiberThread
{
public:
    explicit FiberThread(std::string name); // at most 15 characters, shown by the system
    ~FiberThread();                         // stops

    FiberThread(const FiberThread &) = delete;
    FiberThread &operator=(const FiberThread &) = delete;

    // Starts the thread; call once.
    void start();

    // Stops running fibers and handlers and returns when none runs any more. The thread itself
    // stays parked until the process ends: Boost.Fiber ends a thread only after all of its fibers
    // have ended, and fibers that wait for a socket may never do so.
    void stop();

    // Runs a function in a new fiber on this thread; callable from any thread.
    void spawn(std::function<void()> function);

    // Runs a function on this thread outside any fiber; it must not block.
    void post(std::function<void()> function);

    asio::io_context &io() { return *this->context; }

private:
    void run();

    std::string name;
    std::shared_ptr<asio::io_context> context; // shared with the scheduler, which outlives run()
    std::shared_ptr<std::atomic<bool>> parked; // set by the scheduler after stop()
    std::thread thread;
};

// ---- FiberEvent ----

// Wakes one fiber from any thread, at most once; a wait ends early at its time limit.
class FiberEvent
{
public:
    explicit FiberEvent(asio::io_context &io);

    // Wakes the waiting fiber, or lets the next wait return at once. Callable from any thread.
    void notify();

    // Returns true if notified before the time limit.
    bool waitFor(Duration limit);

private:
    struct State
    {
        explicit State(asio::io_context &io)
            : timer(io)
        {}
        asio::steady_timer timer;
        bool notified = false;
    };

    asio::io_context &io;
    std::shared_ptr<State> state;
};

} // namespace kumquat
