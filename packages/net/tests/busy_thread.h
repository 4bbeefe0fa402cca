// A thread whose ready fibers keep it busy: each runs for a short time and is ready again, so that
// a fiber which is woken in turn waits for all of them. It stands for a process with too little
// processor time.
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
    static constexpr Duration turn = 1ms;
    static constexpr Duration round = fibers * turn;

    BusyThread()
        : thread("busy")
    {
        this->thread.start();
        for (int i = 0; i < fibers; ++i) {
            this->thread.spawn([this] {
                ++this->begun;
                while (!this->isCalm) {
                    spin(turn);
                    boost::this_fiber::yield();
                }
            });
        }
        waitUntil([this] { return this->begun == fibers; }); // making them takes time as well
    }

    ~BusyThread()
    {
        this->isCalm = true;
        this->thread.stop();
    }

    // A stopped thread keeps its listener, so each server has a port of its own.
    static std::uint16_t nextPort()
    {
        static std::uint16_t next = 18'560;
        return next++;
    }

    FiberThread thread;
    std::atomic<bool> isCalm{false};
    std::atomic<int> begun{0};
};

} // namespace kumquat
