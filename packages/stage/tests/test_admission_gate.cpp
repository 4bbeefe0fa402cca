// Work that an overloaded process accepts, without network or threads.
#include "net/fibers.h"
#include "stage/admission_gate.h"
#include "stage/host_backoff.h"

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

namespace kumquat {
namespace {

// A simulated thread that serves one piece of work after the other under a load above its capacity.
// Refusing a piece costs a tenth of serving it.
struct OverloadedThread
{
    Duration cost = 4ms; // time to serve one piece of work
    AdmissionGate gate;
    std::deque<Time> ready; // arrival times of the accepted pieces
    Time freeAt{};
    Duration longestWait{};
    int served = 0;
    std::vector<Duration> retries;

    void serveUntil(Time now)
    {
        while (!this->ready.empty() && this->freeAt <= now) {
            const Time startedAt = std::max(this->freeAt, this->ready.front());
            this->longestWait = std::max(this->longestWait, startedAt - this->ready.front());
            this->ready.pop_front();
            this->freeAt = startedAt + this->cost;
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
        if (const auto refusal = this->gate.refuse(backlog.delay(), WorkKind::Request, now)) {
            this->retries.push_back(refusal->retryAfter);
            this->freeAt = std::max(this->freeAt, now) + this->cost / 10;
        } else {
            this->ready.push_back(now);
        }
    }
};

} // namespace

// Guards against an overload in which a process accepts three times as much work as its thread can
// do, so that each piece waits for seconds and is answered too late.
TEST_CASE("a thread with three times the work of its capacity serves some of it in time",
          "[admission_gate]")
{
    OverloadedThread thread;
    constexpr Duration every = 4ms / 3;
    for (Time now = 1s; now < 11s; now += every) {
        thread.arrive(now);
    }
    CHECK(thread.longestWait < 500ms);
    CHECK(thread.served > 10s / thread.cost / 2); // not all work is refused
    CHECK(thread.retries.size() > 1000);
}

// Guards against refused callers that all retry at once, or sooner than the thread can serve them.
TEST_CASE("callers that are refused together are told different retry times", "[admission_gate]")
{
    AdmissionGate gate;
    Duration before{};
    for (int i = 0; i < 100; ++i) {
        const auto refusal = gate.refuse(200ms, WorkKind::Request, 1s);
        REQUIRE(refusal.has_value());
        CHECK(refusal->retryAfter >= 400ms);
        CHECK(refusal->retryAfter > before);
        before = refusal->retryAfter;
    }
    CHECK(gate.refuse(10s, WorkKind::Request, 1s)->retryAfter
          == AdmissionGateSettings{}.maxRetryAfter);
}

// A core with a CPU quota stalls for up to 90 ms in each tenth of a second and is not overloaded.
TEST_CASE("a thread that stalls briefly accepts new work", "[admission_gate]")
{
    AdmissionGate gate;
    CHECK_FALSE(gate.refuse(90ms, WorkKind::Request, 1s));
    CHECK_FALSE(gate.refuse(90ms, WorkKind::Call, 1s));
}

// Guards against running work that is lost because one of its calls was refused.
TEST_CASE("calls of running requests are refused last", "[admission_gate]")
{
    AdmissionGate gate;
    CHECK(gate.refuse(200ms, WorkKind::Request, 1s));
    CHECK_FALSE(gate.refuse(200ms, WorkKind::Call, 1s));
    CHECK(gate.refuse(400ms, WorkKind::Call, 1s));
}

// Guards against an overloaded host that spends its time on refusing what all other hosts send: 90
// hosts with 16 requests a second each for one of its keys.
TEST_CASE("a host that refuses work gets no more during its backoff", "[admission_gate]")
{
    constexpr Duration every = Duration(1s) / 16;
    HostBackoff hostBackoff;
    int sent = 0;
    for (Time now = 1s; now < 3s; now += every) {
        if (hostBackoff.remainingBackoff("a-1", WorkKind::Request, now)) {
            continue;
        }
        ++sent;
        hostBackoff.note("a-1", WorkKind::Request, 500ms, now);
    }
    CHECK(sent <= 5); // of 32 requests
    CHECK_FALSE(hostBackoff.remainingBackoff("a-2", WorkKind::Request, 3s));
    // Calls are still sent until one is refused; after that nothing is sent.
    hostBackoff.note("a-1", WorkKind::Request, 500ms, 10s);
    CHECK_FALSE(hostBackoff.remainingBackoff("a-1", WorkKind::Call, 10s));
    hostBackoff.note("a-3", WorkKind::Call, 500ms, 10s);
    CHECK(hostBackoff.remainingBackoff("a-3", WorkKind::Request, 10s) == Duration(500ms));
    CHECK_FALSE(hostBackoff.remainingBackoff("a-3", WorkKind::Call, 10500ms));
}

} // namespace kumquat
