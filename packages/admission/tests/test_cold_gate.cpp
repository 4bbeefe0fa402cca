// Tests the limit for cold upstreams.
#include "admission/cold_gate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace kumquat;

namespace {

constexpr ColdLimits limits{.perSecond = 15, .excess = 1.5, .slack = 8};
constexpr double bound = 15 * 1.5 + 8; // in any second

// Sends whenever the gate allows it, and returns the times.
std::vector<Time> sendWhenAllowed(ColdGate &gate, Time from, Time until, Duration step)
{
    std::vector<Time> times;
    for (Time now = from; now < until; now += step) {
        if (gate.wait(now) == Duration::zero()) {
            gate.noteSent(now);
            times.push_back(now);
        }
    }
    return times;
}

std::size_t mostInOneSecond(const std::vector<Time> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        const auto end = std::upper_bound(times.begin(), times.end(), times[first] + 1s);
        most = std::max(most, static_cast<std::size_t>(end - times.begin()) - first);
    }
    return most;
}

} // namespace

// Load: a service sends as much as it can to an upstream that has just started.
TEST_CASE("a cold upstream gets no more than it tolerates in any second", "[cold]")
{
    ColdGate gate;
    gate.setLimits(limits);
    gate.noteState(3s, 10s);
    const std::vector<Time> times = sendWhenAllowed(gate, 10s, 13s, 1ms);
    CHECK(mostInOneSecond(times) <= bound);
    CHECK(times.size() >= 3 * 15); // and no fewer than it tolerates
    CHECK(gate.wait(13s) == Duration::zero());
}

// Load: 60 requests per second at an upstream that becomes cold in the middle of the day. The
// requests that it got just before belong to the same second.
TEST_CASE("requests before an upstream became cold count as well", "[cold]")
{
    ColdGate gate;
    gate.setLimits(limits);
    for (Time now = 9s; now < 10s; now += 16ms) {
        gate.noteSent(now);
    }
    gate.noteState(3s, 10s);
    const std::vector<Time> times = sendWhenAllowed(gate, 10s, 10500ms, 1ms);
    CHECK(times.empty());
    CHECK_FALSE(sendWhenAllowed(gate, 10500ms, 11500ms, 1ms).empty());
}

// Guards against a retry time after which the gate refuses again although nothing was sent.
TEST_CASE("the wait of a cold upstream is true", "[cold]")
{
    rc::check([] {
        ColdGate gate;
        gate.setLimits(limits);
        gate.noteState(5s, 100s);
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120));
        Time now = 100s;
        for (const int gap : gaps) {
            now += std::chrono::milliseconds(gap);
            if (gate.wait(now) == Duration::zero()) {
                gate.noteSent(now);
            } else {
                RC_ASSERT(gate.wait(now + gate.wait(now) + 1us) == Duration::zero());
            }
        }
    });
}

// Guards against a limit for services that have none, and for warm upstreams.
TEST_CASE("a warm upstream and a service without a limit are not slowed down", "[cold]")
{
    ColdGate unlimited;
    unlimited.noteState(3s, 10s);
    CHECK(sendWhenAllowed(unlimited, 10s, 11s, 1ms).size() == 1000);
    ColdGate warm;
    warm.setLimits(limits);
    warm.noteState(0s, 10s);
    CHECK(sendWhenAllowed(warm, 10s, 11s, 1ms).size() == 1000);
}
