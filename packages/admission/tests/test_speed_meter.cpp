// Tests how the usable slots of an upstream are learned.
#include "admission/speed_meter.h"
#include "admission/tests/upstream_model.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace kumquat;

namespace {

constexpr std::uint32_t slots = 16;
constexpr Duration meanWork = 40ms;

// Plays requests of one upstream. Between `add` intervals, the number of open requests is kept at
// `open`, so that more than the slots means a full upstream.
class Play
{
public:
    explicit Play(std::uint64_t seed = 1)
        : work(seed)
    {}

    void run(Duration length, std::size_t open, const std::function<void()> &check = {})
    {
        const Time until = this->now + length;
        for (; this->now < until; this->now += modelStep) {
            while (this->upstream.inFlight() < open) {
                this->upstream.add(this->next());
            }
            this->upstream.step(this->now);
            this->fewest = std::min(this->fewest, this->usable());
            if (check) {
                check();
            }
        }
    }

    // Load that rises, as after a start.
    void rise()
    {
        for (std::size_t open = 2; open <= slots; open += 2) {
            this->run(500ms, open);
        }
    }

    std::uint32_t usable() const { return this->upstream.meter.usableSlots(); }

    UpstreamModel upstream{slots};
    WorkModel work;
    Time now = 10s;
    std::uint32_t fewest = slots; // usable slots so far
    std::function<ModelRequest()> next = [this] {
        return ModelRequest{.work = this->work.draw(meanWork)};
    };
};

} // namespace

// Load: full upstreams of speeds 0.6 and 1.6, whose throughput grows up to their slots.
// Guards against a limit below the slots of an upstream that is only slow.
TEST_CASE("an upstream whose throughput grows up to its slots keeps all of them", "[speed]")
{
    for (const double slowness : {0.6, 1.0, 1.6}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Play play(seed);
            play.upstream.slowness = slowness;
            play.upstream.sendsFigures = seed % 2 == 0;
            play.rise();
            play.run(20s, 2 * slots);
            INFO(slowness << " " << seed);
            CHECK(play.fewest == slots);
        }
    }
}

// Load: a full upstream whose speed changes many times a second between 0.7 and 1.4 of the usual.
// Guards against a limit that follows such changes, and against trials that cost throughput.
TEST_CASE("an upstream whose speed changes all the time keeps its slots", "[speed]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Play play(seed);
        play.upstream.sendsFigures = true;
        play.rise();
        std::size_t limits = 0;
        std::size_t steps = 0;
        play.run(20s, 2 * slots, [&] {
            if (play.work.chance(0.01)) { // ten times a second
                play.upstream.slowness = 0.7 + 0.1 * static_cast<double>(play.work.draw(4s) / 1s);
                play.upstream.slowness = std::min(1.4, play.upstream.slowness);
            }
            ++steps;
            limits += play.upstream.meter.concurrencyLimit();
        });
        INFO(seed);
        CHECK(play.fewest == slots);
        CHECK(static_cast<double>(limits) / static_cast<double>(steps) > 0.95 * slots);
    }
}

// Load: an upstream that has just started and becomes faster during four seconds, as load arrives.
// Guards against taking a cold start for contention.
TEST_CASE("a cold start changes nothing", "[speed]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Play play(seed);
        play.upstream.sendsFigures = seed % 2 == 0;
        const Time start = play.now;
        const auto warmUp = [&] {
            play.upstream.slowness = std::max(1.0, 3 - toSeconds(play.now - start) / 2);
        };
        for (std::size_t open = 2; open <= slots; open += 2) {
            play.run(250ms, open, warmUp);
        }
        play.run(10s, 2 * slots, warmUp);
        INFO(seed);
        CHECK(play.fewest == slots);
    }
}

// Load: a full upstream that slows down beyond half of its slots, so that 16 runs together finish
// later than twice 8. Guards against a limit that costs throughput.
TEST_CASE("an upstream that slows down beyond half of its slots gets about half", "[speed]")
{
    for (const bool isFullFromStart : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Play play(seed);
            play.upstream.setContention(slots / 2, 2);
            play.upstream.sendsFigures = isFullFromStart;
            if (!isFullFromStart) {
                play.rise();
            }
            play.run(4s, 2 * slots);
            std::size_t near = 0;
            std::size_t all = 0;
            play.run(20s, 2 * slots, [&] {
                ++all;
                near += play.usable() >= 6 && play.usable() <= 11 ? 1 : 0;
            });
            INFO(isFullFromStart << " " << seed << " usable " << play.usable());
            CHECK(near >= 0.9 * static_cast<double>(all));
        }
    }
}

// Load: a full upstream that begins to slow down beyond half of its slots and stops it later.
// Guards against a limit that stays low after the cause has gone.
TEST_CASE("usable slots follow contention that comes and goes within two seconds", "[speed]")
{
    int slow = 0;
    int back = 0;
    constexpr int plays = 20;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        Play play(seed);
        play.upstream.sendsFigures = true;
        play.rise();
        play.run(3s, 2 * slots);
        play.upstream.setContention(slots / 2, 3);
        play.run(2s, 2 * slots);
        slow += play.usable() <= 11 ? 1 : 0;
        play.run(6s, 2 * slots);
        play.upstream.setContention(0, 0);
        play.run(2s, 2 * slots);
        back += play.usable() == slots ? 1 : 0;
    }
    INFO("lowered " << slow << " raised " << back);
    CHECK(slow >= 18);
    CHECK(back >= 18);
}

// Load: an upstream that becomes three times slower at any concurrency, and recovers. Guards
// against taking a slow upstream for one that has fewer usable slots.
TEST_CASE("an upstream that becomes slow and recovers keeps its slots", "[speed]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Play play(seed);
        play.upstream.sendsFigures = seed % 2 == 0;
        play.rise();
        play.run(3s, 2 * slots);
        play.upstream.slowness = 3;
        play.run(6s, 2 * slots);
        play.upstream.slowness = 1;
        play.run(6s, 2 * slots);
        INFO(seed);
        CHECK(play.fewest == slots);
    }
}

// Load: cheap and expensive routes (5 and 150 ms) in alternating bursts at constant speed; few are
// open while the cheap ones come, all slots are used by the expensive ones. Guards against taking
// expensive requests for a slow upstream.
TEST_CASE("bursts of cheap and expensive routes change nothing", "[speed]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Play play(seed);
        bool isExpensive = false;
        play.next = [&] {
            const bool isOther = play.work.chance(0.1);
            return isExpensive != isOther ? ModelRequest{.route = 2, .work = play.work.draw(150ms)}
                                          : ModelRequest{.route = 1, .work = play.work.draw(5ms)};
        };
        for (int burst = 0; burst < 20; ++burst) {
            isExpensive = burst % 2 == 1;
            play.run(700ms, isExpensive ? 2 * slots : 5);
        }
        INFO(seed);
        CHECK(play.fewest == slots);
    }
}

// Load: one in ten runs at a full upstream is lost or times out late. Guards against learning from
// runs whose time says nothing about the upstream.
TEST_CASE("lost and late answers are not learned", "[speed]")
{
    Play play;
    play.upstream.endOf = [&] {
        return !play.work.chance(0.1)  ? CallEnd::Answered
               : play.work.chance(0.5) ? CallEnd::Lost
                                       : CallEnd::TimedOut;
    };
    play.rise();
    play.run(20s, 2 * slots);
    CHECK(play.fewest == slots);
}

// Failure: the upstream restarts while its limit is low, with runs in progress. Guards against
// figures of the former instance.
TEST_CASE("learning starts again with another instance", "[speed]")
{
    Play play;
    play.upstream.setContention(slots / 2, 3);
    play.rise();
    play.run(6s, 2 * slots);
    REQUIRE(play.usable() < slots);
    play.upstream.meter.takeChange();
    play.upstream.meter.reset(slots, play.now);
    CHECK(play.usable() == slots);
    CHECK(play.upstream.meter.concurrencyLimit() == slots);
    const auto change = play.upstream.meter.takeChange();
    REQUIRE(change.has_value());
    CHECK(change->reason == SpeedReason::Restarted);
    play.upstream.setContention(0, 0);
    play.fewest = slots;
    play.run(10s, 2 * slots);
    CHECK(play.fewest == slots);
}

// Load: an upstream with a low limit gets little for some seconds. Guards against a limit that is
// never tried again because other hosts send less.
TEST_CASE("a limit that is not reached is given up", "[speed]")
{
    Play play;
    play.upstream.setContention(slots / 2, 3);
    play.rise();
    play.run(6s, 2 * slots);
    REQUIRE(play.usable() < slots);
    play.run(5s, 2);
    CHECK(play.usable() == slots);
}

// Load: none; the limits of the figure itself.
TEST_CASE("usable slots stay between the minimum and the announced slots", "[speed]")
{
    Play play;
    play.upstream.setContention(1, 5); // every further run costs throughput
    play.rise();
    play.run(20s, 2 * slots, [&] {
        CHECK(play.upstream.meter.concurrencyLimit() >= slots / 4);
        CHECK(play.upstream.meter.concurrencyLimit() <= slots);
    });
    SpeedMeter single;
    CHECK(single.usableSlots() == 0);
    single.reset(1, 1s);
    single.advance(2s);
    CHECK(single.usableSlots() == 1);
}

// Load: an upstream that was slow and gets no requests any more. Guards against hosts that avoid it
// for ever.
TEST_CASE("an idle upstream reports its usual service time", "[speed]")
{
    Play play;
    play.rise();
    play.upstream.slowness = 10;
    play.run(3s, slots);
    constexpr double measured = 0.3;
    CHECK(play.upstream.meter.reportedServiceSeconds(measured, play.now) == measured);
    play.run(3s, 0);
    CHECK(play.upstream.meter.reportedServiceSeconds(measured, play.now) < measured / 2);
    CHECK(play.upstream.meter.reportedServiceSeconds(0, play.now) == 0);
}
