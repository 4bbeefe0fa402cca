#include "net/fibers.h"

#include "base/containment.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/all.hpp>

#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <deque>
#include <optional>

namespace kumquat {

// ---- Ready fibers ----

// Run queue of one thread: the fibers that are ready, in one queue for each WakeOrder.
class ReadyFibers
{
public:
    // Sets the order of the fibers that are pushed from now on, and returns the previous one.
    WakeOrder setOrder(WakeOrder order) { return std::exchange(this->pushOrder, order); }

    void push(boost::fibers::context *fiber)
    {
        Queue &queue = this->queueOf(this->pushOrder);
        fiber->ready_link(queue.fibers);
        queue.wokenTimes.push_back(this->now());
    }

    // Returns the next fiber, or nullptr.
    boost::fibers::context *pop()
    {
        Queue *queue = this->nextQueue();
        if (queue == nullptr) {
            return nullptr;
        }
        boost::fibers::context *fiber = &queue->fibers.front();
        const Time wokenTime = queue->wokenTimes.front();
        queue->fibers.pop_front();
        queue->wokenTimes.pop_front();
        if (fiber == boost::fibers::context::active()) {
            // The fiber was woken while it is suspending itself, and it can be resumed only after
            // that. Another fiber to run exists, because the dispatcher fiber is always ready
            // while another fiber runs.
            boost::fibers::context *other = this->pop();
            queue->fibers.push_front(*fiber);
            queue->wokenTimes.push_front(wokenTime);
            return other;
        }
        this->runningWokenTime = wokenTime;
        ++this->roundRuns;
        this->longestWait = std::max(this->longestWait, this->now() - this->runningWokenTime);
        return fiber;
    }

    bool isEmpty() const
    {
        return std::all_of(this->queues.begin(), this->queues.end(),
                           [](const Queue &queue) { return queue.fibers.empty(); });
    }

    // Starts a new round. Call before handlers run; the clock is read again after this. `wasBusy`:
    // fibers have run without a pause since the last call.
    void beginRound(bool wasBusy)
    {
        const Time previousTime = this->roundTime.value_or(Time::zero());
        this->roundTime.reset();
        const int runs = std::exchange(this->roundRuns, 0);
        if (wasBusy && runs > 0) {
            this->meanRunTime +=
                    ((this->now() - previousTime) / runs - this->meanRunTime) / meanRunTimeRounds;
        }
    }

    FiberBacklog backlog() const
    {
        FiberBacklog backlog;
        const Time present = readBootTime();
        for (const Queue &queue : this->queues) {
            backlog.ready += queue.wokenTimes.size();
            if (!queue.wokenTimes.empty()) {
                backlog.oldest = std::max(backlog.oldest, present - queue.wokenTimes.front());
            }
        }
        backlog.expected = this->meanRunTime * static_cast<Duration::rep>(backlog.ready);
        return backlog;
    }

    Duration takeLongestWait() { return std::exchange(this->longestWait, Duration::zero()); }

    Time wokenTime() const { return this->runningWokenTime; }

private:
    // Ready fibers of one order, in the order in which they were woken.
    struct Queue
    {
        boost::fibers::scheduler::ready_queue_type fibers;
        std::deque<Time> wokenTimes; // of each fiber
    };

    // Every eighth pick is a Last fiber if one is ready.
    static constexpr int picksPerLastFiber = 8;

    static constexpr int meanRunTimeRounds = 8; // weight of the running mean, in rounds

    Queue &queueOf(WakeOrder order) { return this->queues[static_cast<std::size_t>(order)]; }

    // Returns the queue to take the next fiber from, or nullptr if all are empty.
    Queue *nextQueue()
    {
        Queue &last = this->queueOf(WakeOrder::Last);
        if (!last.fibers.empty() && ++this->picksSinceLastFiber >= picksPerLastFiber) {
            this->picksSinceLastFiber = 0;
            return &last;
        }
        const auto found = std::find_if(this->queues.begin(), this->queues.end(),
                                        [](const Queue &queue) { return !queue.fibers.empty(); });
        return found == this->queues.end() ? nullptr : &*found;
    }

    // Returns the time of the current round. The clock is read only once for all fibers of a round.
    Time now()
    {
        if (!this->roundTime) {
            this->roundTime = readBootTime();
        }
        return *this->roundTime;
    }

    std::array<Queue, wakeOrderNames.entries.size()> queues; // indexed by WakeOrder
    WakeOrder pushOrder = WakeOrder::InTurn;
    int picksSinceLastFiber = 0; // other fibers run since the last Last fiber, while one was ready
    std::optional<Time> roundTime;
    int roundRuns = 0;      // fibers that ran in the current round
    Duration meanRunTime{}; // mean time of one fiber run, including handlers
    Time runningWokenTime{};
    Duration longestWait{};
};

namespace {

thread_local ReadyFibers *threadFibers = nullptr;

// Sets the order of all fibers that are woken during the lifetime of this object.
class ScopedWakeOrder
{
public:
    explicit ScopedWakeOrder(WakeOrder order)
        : previousOrder(threadFibers->setOrder(order))
    {}

    ~ScopedWakeOrder() { threadFibers->setOrder(this->previousOrder); }

    ScopedWakeOrder(const ScopedWakeOrder &) = delete;
    ScopedWakeOrder &operator=(const ScopedWakeOrder &) = delete;

private:
    WakeOrder previousOrder;
};

// Round-robin scheduler that waits in the io_context when no fiber is ready.
class AsioScheduler : public boost::fibers::algo::algorithm
{
public:
    AsioScheduler(std::shared_ptr<asio::io_context> io, std::shared_ptr<std::atomic<bool>> isParked,
                  std::shared_ptr<ReadyFibers> readyFibers)
        : context(std::move(io))
        , parked(std::move(isParked))
        , ready(std::move(readyFibers))
        , timer(*this->context)
    {
        threadFibers = this->ready.get();
    }

    void awakened(boost::fibers::context *fiber) noexcept override { this->ready->push(fiber); }

    boost::fibers::context *pick_next() noexcept override
    {
        if (this->context->stopped()) {
            this->park();
        }
        // Handlers are polled between fibers, so that a busy thread still serves its sockets.
        if (++this->picksSincePoll >= picksPerPoll) {
            this->picksSincePoll = 0;
            this->ready->beginRound(true);
            this->pollHandlers();
        }
        return this->ready->pop();
    }

    bool has_ready_fibers() const noexcept override { return !this->ready->isEmpty(); }

    void suspend_until(const std::chrono::steady_clock::time_point &until) noexcept override
    {
        // Arming the timer again cancels the pending wait. The handler of the cancelled wait would
        // make run_one return at once, so the thread would never sleep.
        if (until != this->armedUntil) {
            this->armedUntil = until;
            this->timer.expires_at(until);
            this->timer.async_wait([](const ErrorCode &) {});
        }
        this->ready->beginRound(false);
        runContained(ContainedWork::Task, [this] { this->context->run_one(); });
        this->pollHandlers();
        if (this->context->stopped()) {
            this->park();
        }
    }

    void notify() noexcept override
    {
        asio::post(*this->context, [] {});
    }

private:
    static constexpr int picksPerPoll = 16;

    // Longest time for which handlers run before ready fibers get their turn. A connection whose
    // peer sends without a pause has another handler ready after each one, so that fibers would
    // wait and the messages for them would pile up.
    static constexpr auto maxPollTime = std::chrono::milliseconds(1);

    // Runs the handlers that are ready.
    void pollHandlers()
    {
        const auto end = std::chrono::steady_clock::now() + maxPollTime;
        bool isMoreReady = true;
        while (isMoreReady && std::chrono::steady_clock::now() < end) {
            runContained(ContainedWork::Task, [&] { isMoreReady = this->context->poll_one() > 0; });
        }
    }

    [[noreturn]] void park()
    {
        this->parked->store(true);
        this->parked->notify_all();
        while (true) {
            pause();
        }
    }

    std::shared_ptr<asio::io_context> context;
    std::shared_ptr<std::atomic<bool>> parked;
    std::shared_ptr<ReadyFibers> ready;
    asio::steady_timer timer;
    std::chrono::steady_clock::time_point armedUntil = std::chrono::steady_clock::time_point::max();
    int picksSincePoll = 0;
};

} // namespace

void wakeFiber(boost::fibers::context *fiber, WakeOrder order)
{
    const ScopedWakeOrder ordered(order);
    boost::fibers::context::active()->schedule(fiber);
}

Time wokenAt()
{
    return threadFibers != nullptr ? threadFibers->wokenTime() : readBootTime();
}

void sleepFor(asio::io_context &io, Duration duration)
{
    asio::steady_timer timer(io, std::chrono::duration_cast<std::chrono::nanoseconds>(duration));
    awaitOperation([&](auto done) { timer.async_wait(std::move(done)); });
}

FiberThread::FiberThread(std::string threadName)
    : name(std::move(threadName))
    , context(std::make_shared<asio::io_context>(1))
    , parked(std::make_shared<std::atomic<bool>>(false))
    , ready(std::make_shared<ReadyFibers>())
{}

FiberThread::~FiberThread()
{
    this->stop();
}

void FiberThread::start()
{
    this->thread = std::thread([this] { this->run(); });
    pthread_setname_np(this->thread.native_handle(), this->name.c_str());
}

void FiberThread::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    assert(this->thread.get_id() != std::this_thread::get_id() && "stop from another thread");
    this->context->stop();
    this->parked->wait(false);
    this->thread.detach();
}

void FiberThread::run()
{
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(this->context, this->parked,
                                                           this->ready);
    const auto work = asio::make_work_guard(*this->context);
    // The thread's main fiber only waits; the scheduler runs the io_context meanwhile.
    while (true) {
        boost::this_fiber::sleep_for(std::chrono::hours(1));
    }
}

void FiberThread::spawn(std::function<void()> function, WakeOrder order)
{
    asio::post(*this->context, [function = std::move(function), order]() mutable {
        const ScopedWakeOrder ordered(order);
        boost::fibers::fiber(boost::fibers::launch::post, [function = std::move(function)] {
            runContained(ContainedWork::Task, function);
        }).detach();
    });
}

void FiberThread::post(std::function<void()> function)
{
    asio::post(*this->context, std::move(function));
}

FiberBacklog FiberThread::backlog() const
{
    return this->ready->backlog();
}

Duration FiberThread::takeLongestWait()
{
    return this->ready->takeLongestWait();
}

FiberEvent::FiberEvent(asio::io_context &context)
    : io(context)
    , state(std::make_shared<State>(context))
{}

void FiberEvent::notify(WakeOrder order)
{
    asio::post(this->io, [state = this->state, order] {
        state->order = state->notified ? std::min(state->order, order) : order;
        state->notified = true;
        state->timer.cancel();
    });
}

bool FiberEvent::waitFor(Duration limit)
{
    const std::shared_ptr<State> kept = this->state;
    if (!kept->notified) {
        kept->timer.expires_after(limit);
        awaitOperation([&](auto done) { kept->timer.async_wait(std::move(done)); },
                       {.order = &kept->order});
    }
    return kept->notified;
}

} // namespace kumquat
