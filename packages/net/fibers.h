// Boost.Fiber scheduling on top of Boost.Asio: one io_context per thread, no polling.
//
//   FiberThread thread("worker-0");                     // has an io_context of its own
//   thread.start();
//   thread.spawn([&] {                                  // from any thread: starts a fiber
//       OperationResult result = awaitOperation(
//               [&](auto done) { socket.async_connect(endpoint, std::move(done)); });
//   });
//
// Sections: waking fibers, awaiting operations, FiberThread, FiberEvent.
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <utility> // Asio 1.74 uses std::exchange without including it

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <thread>

namespace kumquat {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

// ---- Waking fibers ----

// Order in which ready fibers run.
enum class WakeOrder : std::uint8_t {
    First,  // ends an operation, for example after a timeout, and must not wait for other work
    InTurn, // after all InTurn fibers that were woken earlier
    Last,   // starts new work. While others are ready, one of 8 fibers is a Last one, so
            // that new work is refused in time if it must be refused.
};

inline constexpr NameTable<WakeOrder, 3> wakeOrderNames{
        {{{WakeOrder::First, "first"}, {WakeOrder::InTurn, "in-turn"}, {WakeOrder::Last, "last"}}}};

// Makes a suspended fiber of the calling thread ready to run.
void wakeFiber(boost::fibers::context *fiber, WakeOrder order);

// Returns the time at which the running fiber was woken, which is when the operation that it
// awaited completed. Outside of a FiberThread it returns the current boot time.
Time wokenAt();

// ---- Awaiting operations ----

// Result of an asynchronous operation: the error and, for reads and writes, the bytes transferred.
struct OperationResult
{
    ErrorCode error;
    std::size_t bytes = 0;
};

// Memory for the state of one asynchronous operation. Asio's own cache of such memory works only
// inside a handler, but fibers start their operations outside of handlers.
class OperationMemory
{
public:
    OperationMemory() = default;
    OperationMemory(const OperationMemory &) = delete;
    OperationMemory &operator=(const OperationMemory &) = delete;

    void *allocate(std::size_t count)
    {
        if (this->used || count > sizeof(this->bytes)) {
            return ::operator new(count);
        }
        this->used = true;
        return this->bytes;
    }

    void deallocate(void *pointer)
    {
        if (pointer == this->bytes) {
            this->used = false;
        } else {
            ::operator delete(pointer);
        }
    }

private:
    static constexpr std::size_t size = 256; // socket and timer operations need 100 to 200

    bool used = false;
    alignas(std::max_align_t) std::byte bytes[size]; // NOLINT: not initialised on purpose
};

// Allocator that Asio obtains from a completion handler.
template <typename T>
struct OperationAllocator
{
    using value_type = T;

    explicit OperationAllocator(OperationMemory &operationMemory)
        : memory(&operationMemory)
    {}

    template <typename Other>
    OperationAllocator(const OperationAllocator<Other> &other) // NOLINT: allocators convert
        : memory(other.memory)
    {}

    T *allocate(std::size_t count)
    {
        return static_cast<T *>(this->memory->allocate(count * sizeof(T)));
    }

    void deallocate(T *pointer, std::size_t /*count*/) { this->memory->deallocate(pointer); }

    bool operator==(const OperationAllocator &) const = default;

    OperationMemory *memory;
};

// Options for the completion of an operation.
struct AwaitOptions
{
    const WakeOrder *order = nullptr; // read at completion; nullptr: First on error, else InTurn
    bool *isPending = nullptr; // true until the operation completes; its fiber may resume later
};

// Completion handler that wakes the fiber which started the operation.
struct ResumeFiber
{
    using allocator_type = OperationAllocator<void>;

    OperationResult *result;
    boost::fibers::context *waiting;
    OperationMemory *memory;
    AwaitOptions options;

    allocator_type get_allocator() const noexcept // NOLINT: Asio's name
    {
        return allocator_type(*this->memory);
    }

    void operator()(const ErrorCode &error, std::size_t bytes = 0) const
    {
        *this->result = OperationResult{error, bytes};
        if (this->options.isPending != nullptr) {
            *this->options.isPending = false;
        }
        const WakeOrder defaultOrder = error ? WakeOrder::First : WakeOrder::InTurn;
        wakeFiber(this->waiting,
                  this->options.order != nullptr ? *this->options.order : defaultOrder);
    }
};

// Starts an operation and suspends the calling fiber until the completion handler has run. `start`
// receives a handler that can be called with (error) or (error, bytes). Call only on a FiberThread;
// the handler must run on the same thread, which Asio guarantees.
template <typename Start>
OperationResult awaitOperation(Start &&start, AwaitOptions options = {})
{
    OperationResult result;
    OperationMemory memory;
    boost::fibers::context *waiting = boost::fibers::context::active();
    if (options.isPending != nullptr) {
        *options.isPending = true;
    }
    start(ResumeFiber{&result, waiting, &memory, options});
    waiting->suspend();
    return result;
}

// Suspends the calling fiber for the given duration.
void sleepFor(asio::io_context &io, Duration duration);

// ---- FiberThread ----

// Fibers of a thread that are ready and wait for processor time. Timers and reads are not delayed
// by them, because handlers run between fibers.
struct FiberBacklog
{
    std::size_t ready = 0; // number of fibers
    Duration oldest{};     // how long the oldest of them has been ready
    Duration expected{};   // estimated time until all of them have run, from the recent mean

    // Returns the estimated wait of a fiber that becomes ready now. The age of the oldest fiber
    // alone reveals an overload too late when fibers become ready faster than they run.
    Duration delay() const { return std::max(this->oldest, this->expected); }
};

class ReadyFibers;

// A thread with an io_context and a fiber scheduler that runs its handlers.
class FiberThread
{
public:
    explicit FiberThread(std::string name); // name of the system thread, at most 15 characters
    ~FiberThread();                         // calls stop()

    FiberThread(const FiberThread &) = delete;
    FiberThread &operator=(const FiberThread &) = delete;

    // Starts the thread; call once.
    void start();

    // Stops running fibers and handlers, and returns once none is running. The thread itself
    // sleeps until the process ends: Boost.Fiber ends a thread only after all of its fibers have
    // ended, and a fiber that waits for a socket may never end.
    void stop();

    // Runs a function in a new fiber on this thread; callable from any thread. An exception ends
    // only the fiber (base/containment.h), like that of a handler.
    void spawn(std::function<void()> function, WakeOrder order = WakeOrder::InTurn);

    // Runs a function on this thread outside any fiber; it must not block.
    void post(std::function<void()> function);

    asio::io_context &io() { return *this->context; }

    // Returns the fibers that are ready now. Call on the thread.
    FiberBacklog backlog() const;

    // Returns the longest time between a fiber becoming ready and running since the last call, and
    // resets it. Call on the thread.
    Duration takeLongestWait();

private:
    void run();

    std::string name;
    std::shared_ptr<asio::io_context> context; // shared with the scheduler, which outlives run()
    std::shared_ptr<std::atomic<bool>> parked; // set by the scheduler after stop()
    std::shared_ptr<ReadyFibers> ready;        // shared with the scheduler
    std::thread thread;
};

// ---- FiberEvent ----

// Event that wakes one fiber, at most once, from any thread. A wait also ends at its time limit.
class FiberEvent
{
public:
    explicit FiberEvent(asio::io_context &io);

    // Wakes the waiting fiber, or lets the next wait return at once. Callable from any thread.
    void notify(WakeOrder order = WakeOrder::InTurn);

    // Suspends the calling fiber. Returns true if notified before the time limit. At the time limit
    // the fiber is woken with WakeOrder::First.
    bool waitFor(Duration limit);

private:
    struct State
    {
        explicit State(asio::io_context &io)
            : timer(io)
        {}
        asio::steady_timer timer;
        bool notified = false;
        WakeOrder order = WakeOrder::First; // for the timeout, until notify() sets its own
    };

    asio::io_context &io;
    std::shared_ptr<State> state;
};

} // namespace kumquat
