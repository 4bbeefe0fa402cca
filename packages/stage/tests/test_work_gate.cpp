// What a process takes while it is behind, without network or threads.
#include "net/fibers.h"
#include "stage/work_gate.h"

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

namespace kumquat {
namespace {

// A thread that serves one piece of work after the other, and what it takes of a load that is more
// than it can serve. A piece that is refused costs a tenth of one that is served.
struct OverloadedThread
{
    Duration cost = 4ms; // of a piece that is served
    WorkGate gate;
    std::deque<Time> ready; // arrivals of the pieces that were taken
    Time freeAt{};
    Duration longestWait{};
    int served = 0;
    std::vector<Duration> retries;

    void serveUntil(Time now)
    {
        while (!this->ready.empty() && this->freeAt <= now) {
            const Time begun = std::max(this->freeAt, this->ready.front());
            this->longestWait = std::max(this->longestWait, begun - this->ready.front());
            this->ready.pop_front();
            this->freeAt = begun + this->cost;
            ++this->served;
        }
    }

    void arrive(Time now)
    {
        this->serveUntil(now);
        const FiberBacklog backlog{
                .ready = this->ready.size(),
                .oldest = this->ready.empty() ? Duration{} : now - this->ready.front(),
                .expected = this->cost * static_cast<Duration::rep>(this->ready.size())};
        if (const auto retryAfter = this->gate.refuse(backlog.delay(), WorkKind::Request, now)) {
            this->retries.push_back(*retryAfter);
            this->freeAt = std::max(this->freeAt, now) + this->cost / 10;
        } else {
            this->ready.push_back(now);
        }
    }
};

} // namespace

// Guards against the pattern of the incident: three times as much work as a thread can do, all of
// it taken, so that each piece waits for seconds and is answered too late.
TEST_CASE("a thread with three times the work that it can do serves some of it in time",
          "[work_gate]")
{
    OverloadedThread thread;
    constexpr Duration every = 4ms / 3;
    for (Time now = 1s; now < 11s; now += every) {
        thread.arrive(now);
    }
    CHECK(thread.longestWait < 500ms);
    CHECK(thread.served > 10s / thread.cost / 2); // not refused altogether
    CHECK(thread.retries.size() > 1000);
}

// Guards against refused callers that all come back at once, or sooner than the thread can serve.
TEST_CASE("callers that are refused together are told different times", "[work_gate]")
{
    WorkGate gate;
    Duration before{};
    for (int i = 0; i < 100; ++i) {
        const auto retryAfter = gate.refuse(200ms, WorkKind::Request, 1s);
        REQUIRE(retryAfter.has_value());
        CHECK(*retryAfter >= 400ms);
        CHECK(*retryAfter > before);
        before = *retryAfter;
    }
    CHECK(gate.refuse(10s, WorkKind::Request, 1s) == WorkGateSettings{}.longestRetry);
}

// A core with a quota stands still for up to 90 ms in each tenth of a second, and is not behind.
TEST_CASE("a thread that stands still for a moment takes new work", "[work_gate]")
{
    WorkGate gate;
    CHECK_FALSE(gate.refuse(90ms, WorkKind::Request, 1s));
    CHECK_FALSE(gate.refuse(90ms, WorkKind::Call, 1s));
}

// Guards against running work that is lost because one of its calls was refused.
TEST_CASE("calls of running requests are refused last", "[work_gate]")
{
    WorkGate gate;
    CHECK(gate.refuse(200ms, WorkKind::Request, 1s));
    CHECK_FALSE(gate.refuse(200ms, WorkKind::Call, 1s));
    CHECK(gate.refuse(400ms, WorkKind::Call, 1s));
}

} // namespace kumquat
