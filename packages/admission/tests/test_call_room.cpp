// Tests which requests are held back while the calls that they make are refused.
#include "admission/call_room.h"
#include "admission/call_source.h"

#include <catch2/catch.hpp>

#include <list>
#include <random>
#include <set>
#include <utility>

using namespace kumquat;

namespace {

constexpr std::uint64_t orders = 1; // its runs call `stock` once
constexpr std::uint64_t pages = 2;  // its runs make no calls
constexpr std::uint64_t stock = 10;

// One upstream. Runs take 100 ms; their calls begin after 20 ms and end after 60 ms, with success
// if the called service has room.
struct Upstream
{
    struct Run
    {
        std::uint64_t route = 0;
        Time start{};
        bool hasCalled = false;
        bool hasResult = false;
    };

    CallRoom room;
    std::list<Run> runs;
    std::mt19937 random{20261206};
    double callRate = 1e9; // calls per second that the called service accepts
    double callTokens = 0;
    double shedShare = 0; // of the calls, refused at random
    int sent = 0;
    int refused = 0;
    int callsAccepted = 0;
    int callsRefused = 0;

    void request(std::uint64_t route, Time now)
    {
        Run &run = this->runs.emplace_back(Run{.route = route, .start = now});
        if (this->room.wait(&run, route, now) > Duration::zero()) {
            ++this->refused;
            this->room.noteRunEnded(&run, false, now);
            this->runs.pop_back();
            return;
        }
        ++this->sent;
        this->room.noteRunStarted(&run, route);
    }

    void advance(Time now, Duration step)
    {
        const double seconds = std::chrono::duration<double>(step).count();
        this->callTokens = std::min(this->callTokens + this->callRate * seconds, 2.0);
        for (auto run = this->runs.begin(); run != this->runs.end();) {
            this->advanceRun(*run, now);
            if (now < run->start + 100ms) {
                ++run;
                continue;
            }
            this->room.noteRunEnded(&*run, true, now);
            run = this->runs.erase(run);
        }
    }

    void advanceRun(Run &run, Time now)
    {
        if (run.route == pages) {
            return;
        }
        if (!run.hasCalled && now >= run.start + 20ms) {
            run.hasCalled = true;
            this->room.noteCall(stock);
        }
        if (!run.hasResult && now >= run.start + 60ms) {
            run.hasResult = true;
            const bool isShed = this->shedShare > 0
                                && std::bernoulli_distribution(this->shedShare)(this->random);
            const bool isAccepted = this->callTokens >= 1 && !isShed;
            this->callTokens -= isAccepted ? 1 : 0;
            this->callsAccepted += isAccepted ? 1 : 0;
            this->callsRefused += isAccepted ? 0 : 1;
            this->room.noteCallEnded(stock, isAccepted ? CallResult::Accepted : CallResult::Refused,
                                     now);
        }
    }

    // Sends requests at random times, so many per second of each route.
    void load(Time from, Time until, int ordersPerSecond, int pagesPerSecond)
    {
        std::uniform_int_distribution<int> thousand(0, 999);
        for (Time now = from; now < until; now += 1ms) {
            this->advance(now, 1ms);
            if (thousand(this->random) < ordersPerSecond) {
                this->request(orders, now);
            }
            if (thousand(this->random) < pagesPerSecond) {
                this->request(pages, now);
            }
        }
    }

    void resetCounts()
    {
        this->sent = this->refused = this->callsAccepted = this->callsRefused = 0;
    }
};

} // namespace

// Load: 200 orders per second with one call each; the called service accepts a tenth of the calls.
// Without a limit, nine of ten runs use their slot and fail.
TEST_CASE("requests are held back while their calls are refused", "[calls]")
{
    Upstream upstream;
    upstream.load(10s, 15s, 200, 0);
    CHECK(upstream.refused == 0);
    upstream.callRate = 20;
    upstream.load(15s, 17s, 200, 0);
    upstream.resetCounts();
    upstream.load(17s, 37s, 200, 0);
    CAPTURE(upstream.sent, upstream.refused, upstream.callsAccepted, upstream.callsRefused);
    CHECK(upstream.callsRefused < upstream.callsAccepted); // more than half of the runs succeed
    CHECK(upstream.callsAccepted > 20 * 20 * 0.8);         // and the room for calls is used
    // The service accepts all calls again: work returns within a second.
    upstream.callRate = 1e9;
    upstream.load(37s, 38s, 200, 0);
    upstream.resetCounts();
    upstream.load(38s, 40s, 200, 0);
    CAPTURE(upstream.refused, upstream.sent);
    CHECK(upstream.refused == 0);
    CHECK(upstream.room.letThrough(stock) == 1);
}

// Load: the called service accepts nothing for ten seconds. A few requests find out that it accepts
// calls again.
TEST_CASE("a few requests find out whether calls are accepted again", "[calls]")
{
    Upstream upstream;
    upstream.load(10s, 15s, 200, 0);
    upstream.callRate = 0;
    upstream.load(15s, 17s, 200, 0);
    upstream.resetCounts();
    upstream.load(17s, 25s, 200, 0);
    CAPTURE(upstream.sent, upstream.refused);
    CHECK(upstream.sent >= 8 * 4);
    CHECK(upstream.sent <= 8 * 12); // of 1600 requests
    upstream.callRate = 1e9;
    upstream.load(25s, 26500ms, 200, 0);
    upstream.resetCounts();
    upstream.load(26500ms, 28s, 200, 0);
    CHECK(upstream.refused == 0);
}

// Load: orders and pages run at the same time, and only orders make calls. Guards against pages
// that are held back for calls which they do not make.
TEST_CASE("calls are attributed to the route that makes them", "[calls]")
{
    Upstream upstream;
    const int perSecond = GENERATE(40, 150);
    upstream.load(10s, 70s, perSecond, perSecond);
    CAPTURE(perSecond, upstream.room.callsPerRun(orders, stock),
            upstream.room.callsPerRun(pages, stock));
    CHECK(upstream.room.callsPerRun(orders, stock) > 0.8);
    CHECK(upstream.room.callsPerRun(pages, stock) < 0.2);
    upstream.callRate = perSecond / 10;
    upstream.load(70s, 72s, perSecond, perSecond);
    Upstream::Run page{.route = pages};
    CHECK(upstream.room.wait(&page, pages, 72s) == Duration::zero());
    CHECK(upstream.room.letThrough(stock) < 0.5);
}

// Load: 200 orders per second, and the called service sheds half of the calls at random. Guards
// against requests that are held back although their upstream has free slots and their callers may
// send them again; where runs cost something, or nearly all calls are refused, they are held back.
TEST_CASE("runs that cost nothing are held back only if most of their calls are refused", "[calls]")
{
    Upstream upstream;
    upstream.load(10s, 15s, 200, 0);
    const double accepted = GENERATE(0.5, 0.1);
    upstream.shedShare = 1 - accepted;
    upstream.load(15s, 17s, 200, 0);
    REQUIRE(upstream.room.letThrough(stock) < 0.8);
    int free = 0;
    int costly = 0;
    std::list<Upstream::Run> requests;
    for (int i = 0; i < 100; ++i) {
        const Upstream::Run *first = &requests.emplace_back();
        const Upstream::Run *second = &requests.emplace_back();
        free += upstream.room.wait(first, orders, 17s, RunCost::Nothing) == Duration::zero();
        costly += upstream.room.wait(second, orders, 17s, RunCost::Slot) == Duration::zero();
    }
    CAPTURE(accepted, free, costly);
    CHECK(costly < 90);
    if (accepted > 0.3) {
        CHECK(free == 100);
    } else {
        CHECK(free < 50);
    }
}

// Load: the upstream restarts while its calls are refused. Its new instance may run other code.
TEST_CASE("a new instance of the upstream starts without limits", "[calls]")
{
    Upstream upstream;
    upstream.load(10s, 15s, 200, 0);
    upstream.callRate = 0;
    upstream.load(15s, 17s, 200, 0);
    REQUIRE(upstream.room.letThrough(stock) < 0.2);
    upstream.room.reset();
    upstream.resetCounts();
    upstream.callRate = 1e9;
    upstream.load(17s, 19s, 200, 0);
    CHECK(upstream.refused == 0);
    CHECK(upstream.room.callsPerRun(orders, stock) > 0.8);
}

// Guards against limits where calls succeed, and against those for single refusals.
TEST_CASE("accepted calls and single refusals hold nothing back", "[calls]")
{
    Upstream upstream;
    upstream.callRate = 260; // 170 calls per second at random times: a few are refused
    upstream.load(10s, 30s, 170, 100);
    CAPTURE(upstream.sent, upstream.callsAccepted, upstream.callsRefused);
    CHECK(upstream.refused == 0);
    CHECK(upstream.callsRefused > 0);
}

// Failure: the calls of a route are refused, then its runs make no calls any more, so no result
// arrives.
TEST_CASE("requests are let through again when no call is made any more", "[calls]")
{
    Upstream upstream;
    upstream.load(10s, 15s, 200, 0);
    upstream.callRate = 0;
    upstream.load(15s, 17s, 200, 0);
    REQUIRE(upstream.room.letThrough(stock) < 0.2);
    std::list<int> ids;
    int refused = 0;
    for (Time now = 17s; now < 20s; now += 5ms) {
        const int *id = &ids.emplace_back();
        if (upstream.room.wait(id, orders, now) > Duration::zero()) {
            refused += now >= 19s ? 1 : 0;
        } else {
            upstream.room.noteRunStarted(id, orders);
        }
        upstream.room.noteRunEnded(id, true, now);
    }
    CHECK(refused == 0);
}

// Guards against outside callers on the host of the upstream whose requests count as calls.
TEST_CASE("requests while the upstream is idle are not calls", "[calls]")
{
    CallSource source;
    CHECK(source.isCall(stock, true, 10s));
    CHECK_FALSE(source.isCall(pages, false, 10s));
    CHECK_FALSE(source.isCall(pages, true, 11s));
    CHECK(source.isCall(stock, true, 11s));
    CHECK(source.isCall(pages, true, 1000s));
    CallRoom room;
    const int run = 0;
    CHECK_FALSE(room.mayBeCall(11s, 10s));
    room.noteRunStarted(&run, orders);
    CHECK(room.mayBeCall(21s, 20s));
    room.noteRunEnded(&run, false, 20s);
    CHECK(room.mayBeCall(22s, 21s)); // the upstream may not know yet that nobody waits
    CHECK_FALSE(room.mayBeCall(23s, 22s));
}

// Load: the upstream is never idle, and outside callers on its host request another service with a
// longer deadline than its runs have. Guards against their refusals holding back the runs, and
// against the priority of calls for their requests.
TEST_CASE("requests with a later deadline than all runs are not calls", "[calls]")
{
    CallSource source;
    CallRoom room;
    std::list<int> runs;
    int images = 0;
    int sent = 0;
    for (Time now = 10s; now < 20s; now += 20ms) {
        room.noteRunStarted(&runs.emplace_back(), orders, now + 2500ms);
        if (runs.size() > 10) {
            room.noteRunEnded(&runs.front(), true, now);
            runs.pop_front();
        }
        CHECK(source.isCall(stock, room.mayBeCall(now + 500ms, now), now));
        // A caller that comes back has less time left.
        const Duration left = ++sent % 4 == 0 ? 2000ms : 6000ms;
        images += source.isCall(pages, room.mayBeCall(now + left, now), now) ? 1 : 0;
    }
    CHECK(images == 0);
}

// Load: one call in a hundred is read after the end of its run, as the process is busy.
TEST_CASE("calls that are read late do not make their route one of outside callers", "[calls]")
{
    CallSource source;
    int calls = 0;
    for (int i = 0; i < 10'000; ++i) {
        calls += source.isCall(stock, i % 100 != 99, 10s + i * 10ms) ? 1 : 0;
    }
    CHECK(calls == 9'900);
}
