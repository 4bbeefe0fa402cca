// Boost.Fiber over Boost.Asio: one io_context per thread, no polling.
//
//   FiberThread thread("worker-0");                     // runs its own io_context
//   thread.start();
//   thread.spawn([&] {                                  // from any thread: a new fiber there
//       error_code error = awaitOperation([&](auto done) { socket.async_connect(endpoint, done);
//       });
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

// When a fiber that is ready runs.
enum class WakeOrder : std::uint8_t {
    First,  // it only ends something, which is late already if it waits
    InTurn, // after those that were woken before it
    Last,   // it begins something new; one in some fibers, so that it is told a refusal in time
};

inline constexpr NameTable<WakeOrder, 3> wakeOrderNames{
        {{{WakeOrder::First, "first"}, {WakeOrder::InTurn, "in-turn"}, {WakeOrder::Last, "last"}}}};

// Makes a suspended fiber of the calling thread ready to run.
void wakeFiber(boost::fibers::context *fiber, WakeOrder order);

// Returns when the running fiber was woken: what it had waited for was there by then. The boot time
// outside of fibers.
Time wokenAt();

// ---- Awaiting operations ----

// Result of an asynchronous operation: the error and, for reads and writes, the bytes moved.
struct OperationResult
{
    ErrorCode error;
    std::size_t bytes = 0;
};

// Memory for the state of one asynchronous operation. Asio's own cache of such memory works only
// inside a handler, while fibers start their operations outside of handlers.
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
    static constexpr std::size_t size = 256; // the operations of sockets and timers take 100 to 200

    bool used = false;
    alignas(std::max_align_t) std::byte bytes[size]; // NOLINT: not initialised on purpose
};

// The allocator that Asio takes from a handler.
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

// What else the end of an operation does.
struct AwaitOptions
{
    const WakeOrder *order = nullptr; // read at the end; not set: First after an error, else InTurn
    bool *isPending = nullptr;        // set while the operation is under way, not for its fiber
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
        const WakeOrder usual = error ? WakeOrder::First : WakeOrder::InTurn;
        wakeFiber(this->waiting, this->options.order != nullptr ? *this->options.order : usual);
    }
};

// Starts an operation and suspends the calling fiber until its completion handler ran. `start`
// gets a handler that takes (error) or (error, bytes). Call on a FiberThread only; the handler
// must run on the same thread, as Asio's handlers do.
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

// Suspends the calling fiber for a time.
void sleepFor(asio::io_context &io, Duration duration);

// ---- FiberThread ----

// Fibers of a thread that could run, but wait for it. Timers and reads are on time meanwhile, as
// handlers run between fibers.
struct FiberBacklog
{
    std::size_t ready = 0; // fibers
    Duration oldest{};     // for how long the first of them has been ready
    Duration expected{};   // until all of them have run, at the pace of late

    // Returns how long a fiber that becomes ready now is likely to wait. The age alone tells it too
    // late where fibers come faster than they run.
    Duration delay() const { return std::max(this->oldest, this->expected); }
};

class ReadyFibers;

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
    void spawn(std::function<void()> function, WakeOrder order = WakeOrder::InTurn);

    // Runs a function on this thread outside any fiber; it must not block.
    void post(std::function<void()> function);

    asio::io_context &io() { return *this->context; }

    // Call on the thread.
    FiberBacklog backlog() const;

    // Returns the longest time for which a fiber was ready before it ran, since the last call. Call
    // on the thread.
    Duration takeLongestWait();

private:
    void run();

    std::string name;
    std::shared_ptr<asio::io_context> context; // shared with the scheduler, which outlives run()
    std::shared_ptr<std::atomic<bool>> parked; // set by the scheduler after stop()
    std::shared_ptr<ReadyFibers> ready;        // shared with the scheduler as well
    std::thread thread;
};

// ---- FiberEvent ----

// Wakes one fiber from any thread, at most once; a wait ends early at its time limit.
class FiberEvent
{
public:
    explicit FiberEvent(asio::io_context &io);

    // Wakes the waiting fiber, or lets the next wait return at once. Callable from any thread.
    void notify(WakeOrder order = WakeOrder::InTurn);

    // Returns true if notified before the time limit. After the limit the fiber runs first.
    bool waitFor(Duration limit);

private:
    struct State
    {
        explicit State(asio::io_context &io)
            : timer(io)
        {}
        asio::steady_timer timer;
        bool notified = false;
        WakeOrder order = WakeOrder::First; // of the end of the limit, until notified
    };

    asio::io_context &io;
    std::shared_ptr<State> state;
};

} // namespace kumquat
