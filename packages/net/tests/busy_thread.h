// A thread that 1,000 ready fibers keep busy. Each of them runs for a short time and is ready again
// at once, so that a fiber woken with WakeOrder::InTurn waits for all of them. It simulates a
// process with too little processor time.
#pragma once

#include "net/fibers.h"

#include <boost/fiber/operations.hpp>

#include <atomic>
#include <chrono>
#include <thread>

namespace kumquat {

inline void spin(Duration duration)
{
    const Time until = readBootTime() + duration;
    while (readBootTime() < until) {
    }
}

// Waits up to 10 s for a condition.
template <typename Condition>
void waitUntil(Condition condition)
{
    for (int i = 0; i < 1000 && !condition(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
}

struct BusyThread
{
    static constexpr int fibers = 1000;
    static constexpr Duration timeSlice = 1ms;
    static constexpr Duration round = fibers * timeSlice;

    BusyThread()
        : thread("busy")
    {
        this->thread.start();
        for (int i = 0; i < fibers; ++i) {
            this->thread.spawn([this] {
                ++this->startedFibers;
                while (!this->isStopping) {
                    spin(timeSlice);
                    boost::this_fiber::yield();
                }
            });
        }
        waitUntil([this] {
            return this->startedFibers == fibers;
        }); // creating the fibers takes time as well
    }

    ~BusyThread()
    {
        this->isStopping = true;
        this->thread.stop();
    }

    // A stopped thread keeps its listening socket open, so each server gets its own port.
    static std::uint16_t nextPort()
    {
        static std::uint16_t next = 18'560;
        return next++;
    }

    FiberThread thread;
    std::atomic<bool> isStopping{false};
    std::atomic<int> startedFibers{0};
};

} // namespace kumquat
