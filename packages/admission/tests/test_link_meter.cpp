// Tests the limit for the answers that a host sends over its link.
#include "admission/link_meter.h"

#include "admission/decision.h"
#include "admission/retry_spread.h"
#include "base/durations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <random>
#include <vector>

using namespace kumquat;

namespace {

constexpr double linkRate = 1'250'000; // 10 Mbit/s
constexpr std::size_t imageBytes = 90'000;
constexpr AnswerKind image{.route = 1, .isLarge = true};
constexpr AnswerKind callAnswer{.route = 2, .isLarge = false};
constexpr Duration runTime = 100ms; // of a request for an image
constexpr Duration maxWait = DecisionSettings{}.maxLinkWait;

LinkMeter makeMeter()
{
    LinkMeter meter;
    meter.setRate(linkRate);
    return meter;
}

// Lets the meter learn the sizes of the routes, and the link become free again.
void learnSizes(LinkMeter &meter, Time now)
{
    const int images = 0;
    meter.reserve(&images, image, now);
    meter.complete(&images, imageBytes, now + runTime);
    const int calls = 0;
    meter.reserve(&calls, callAnswer, now);
    meter.complete(&calls, 1000, now + 50ms);
}

struct Run
{
    int link = 0;
    std::size_t bytes = 0;
    Time end{};
};

// Six hosts of one service, with one link each. Requests go to the host with the shortest wait.
struct Hosts
{
    std::array<LinkMeter, 6> meters{makeMeter(), makeMeter(), makeMeter(),
                                    makeMeter(), makeMeter(), makeMeter()};
    std::list<Run> runs;
    std::mt19937 random{20261206};
    double sentBytes = 0;

    // Returns the wait at the best host; if it is not too long, runs the request there.
    Duration send(const AnswerKind &kind, Duration limit, Time now)
    {
        int best = 0;
        for (int i = 1; i < 6; ++i) {
            best = this->meter(i).wait(kind, now) < this->meter(best).wait(kind, now) ? i : best;
        }
        const Duration wait = this->meter(best).wait(kind, now);
        if (wait <= limit) {
            std::uniform_int_distribution<int> time(40, 220);
            this->runs.push_back({.link = best,
                                  .bytes = kind.isLarge ? imageBytes : 1000,
                                  .end = now + std::chrono::milliseconds(time(this->random))});
            this->meter(best).reserve(&this->runs.back(), kind, now);
        }
        return wait;
    }

    // Returns whether the best host has room for a further answer after its wait, if it gets no
    // more requests until then.
    bool isWaitTrue(const AnswerKind &kind, Time now) const
    {
        const auto best =
                std::min_element(this->meters.begin(), this->meters.end(),
                                 [&](const LinkMeter &first, const LinkMeter &second) {
                                     return first.wait(kind, now) < second.wait(kind, now);
                                 });
        const Time end = now + best->wait(kind, now);
        LinkMeter meter = *best;
        for (Time at = now; at <= end; at += 1ms) {
            for (const Run &run : this->runs) {
                if (run.link == best - this->meters.begin() && run.end <= at) {
                    meter.complete(&run, run.bytes, at);
                }
            }
        }
        return meter.wait(kind, end) <= maxWait;
    }

    LinkMeter &meter(int link) { return this->meters[static_cast<std::size_t>(link)]; }

    void finishRuns(Time now)
    {
        for (auto run = this->runs.begin(); run != this->runs.end();) {
            if (run->end > now) {
                ++run;
                continue;
            }
            this->meter(run->link).complete(&*run, run->bytes, now);
            this->sentBytes += static_cast<double>(run->bytes);
            run = this->runs.erase(run);
        }
    }
};

} // namespace

// Load: 117 answers per second of 90,000 bytes, 84 Mbit/s, over six links of 10 Mbit/s, with 200
// short calls per second beside them. Without a limit, the links owe more and more, and all calls
// that share them time out.
TEST_CASE("images fill the links and calls pass beside them", "[link]")
{
    Hosts hosts;
    std::uniform_int_distribution<int> thousand(0, 999);
    int refusedCalls = 0;
    int refusedImages = 0;
    int falseWaits = 0;
    double mostOwed = 0;
    for (Time now = 10s; now < 40s; now += 1ms) {
        hosts.finishRuns(now);
        if (thousand(hosts.random) < 200) {
            refusedCalls += hosts.send(callAnswer, maxWait, now) > maxWait ? 1 : 0;
        }
        if (thousand(hosts.random) < 117) {
            const bool isRefused = hosts.send(image, maxWait, now) > maxWait;
            refusedImages += isRefused ? 1 : 0;
            falseWaits += isRefused && !hosts.isWaitTrue(image, now) ? 1 : 0;
        }
        for (const LinkMeter &meter : hosts.meters) {
            mostOwed = std::max(mostOwed, meter.owedBytes(now));
        }
    }
    CAPTURE(refusedImages, mostOwed, hosts.sentBytes);
    CHECK(refusedCalls == 0);
    CHECK(refusedImages > 0);
    CHECK(falseWaits == 0);
    // What the link sends in the longest wait and in the run time that is credited, and one answer.
    CHECK(mostOwed <= linkRate * 0.4 + imageBytes);
    // The links are used for nearly all that large answers may have.
    const double largeRate = 6 * linkRate * 0.9 * 0.85;
    CHECK(hosts.sentBytes >= 0.9 * largeRate * 30);
    CHECK(hosts.sentBytes <= 6 * linkRate * 0.9 * 30);
}

// Load: 20 callers ask for an image in the same moment. Guards against a retry time after which the
// link is still full, and against one that sends all of them back at once.
TEST_CASE("callers that come back when they are told find room", "[link]")
{
    LinkMeter meter = makeMeter();
    learnSizes(meter, 5s);
    RetrySpread spread;
    std::vector<Time> returns;
    std::list<Run> admitted;
    for (int i = 0; i < 20; ++i) {
        const Duration wait = meter.wait(image, 10s);
        if (wait <= maxWait) {
            admitted.push_back({.bytes = imageBytes, .end = 10s + runTime});
            meter.reserve(&admitted.back(), image, 10s);
        } else {
            returns.push_back(10s + spread.next(wait, meter.sendTime(image), 10s));
        }
    }
    REQUIRE(returns.size() >= 15);
    for (const Time at : returns) {
        for (const Run &run : admitted) {
            if (run.end <= at) {
                meter.complete(&run, run.bytes, run.end);
            }
        }
        CHECK(meter.wait(image, at) <= maxWait);
        admitted.push_back({.bytes = imageBytes, .end = at + runTime});
        meter.reserve(&admitted.back(), image, at);
    }
    CHECK(returns.back() <= 12500ms); // callers wait no longer than some seconds
}

// Failure: the upstream crashes while it runs requests for images, so their answers never come.
TEST_CASE("an answer that never comes returns its reservation", "[link]")
{
    LinkMeter meter = makeMeter();
    learnSizes(meter, 5s);
    std::list<Run> lost(4);
    for (const Run &run : lost) {
        meter.reserve(&run, image, 10s);
        meter.reserve(&run, image, 10s); // a second connection for the same request
    }
    CHECK(meter.wait(image, 10s) > maxWait);
    for (const Run &run : lost) {
        meter.complete(&run, 0, 10050ms);
    }
    CHECK(meter.wait(image, 10050ms) == Duration::zero());
    CHECK(meter.owedBytes(10050ms) == 0);
    CHECK(meter.expectedBytes(image) == imageBytes); // a lost answer says nothing about the size
}

// Load: short answers only, as many as the whole link sends. Guards against short answers that are
// refused while the link has room, and against a link that fills up with them without limit.
TEST_CASE("short answers wait only when the whole link is full", "[link]")
{
    LinkMeter meter = makeMeter();
    learnSizes(meter, 5s);
    std::list<Run> runs;
    const auto sendFor = [&](Time from, Duration step) {
        Duration longest{};
        for (Time now = from; now < from + 1s; now += step) {
            longest = std::max(longest, meter.wait(callAnswer, now));
            meter.reserve(&runs.emplace_back(), callAnswer, now);
            meter.complete(&runs.back(), 1000, now);
        }
        return longest;
    };
    CHECK(sendFor(10s, 1ms) <= 10ms);
    CHECK(sendFor(20s, 500us) > maxWait);
}

// Guards against an estimate that stays low when the answers of a route become larger, and against
// limits where the configuration has no route with large answers.
TEST_CASE("the size of a route follows larger answers fast", "[link]")
{
    LinkMeter meter = makeMeter();
    const int request = 0;
    for (int i = 0; i < 10; ++i) {
        meter.reserve(&request, image, 10s);
        meter.complete(&request, i < 5 ? 10'000 : imageBytes, 10s);
    }
    CHECK(meter.expectedBytes(image) > 70'000);
    meter.setRate(0);
    for (int i = 0; i < 100; ++i) {
        meter.reserve(&request + i, image, 20s);
    }
    CHECK(meter.wait(image, 20s) == Duration::zero());
}
