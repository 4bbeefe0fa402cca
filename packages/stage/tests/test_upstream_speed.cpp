// Tests what the executor's hooks learn about the upstream beside this process.
#include "stage/upstream_speed.h"

#include <catch2/catch.hpp>

#include <vector>

namespace kumquat {
namespace {

constexpr std::uint32_t slots = 8;

// Plays rounds in which `count` requests run together and end after `took`.
class Rounds
{
public:
    explicit Rounds(bool learnsConcurrency = true)
        : speed(learnsConcurrency)
    {
        this->hooks.instanceChanged(slots, this->now);
    }

    void play(int rounds, std::uint32_t count, Duration took)
    {
        for (int round = 0; round < rounds; ++round) {
            const std::uint32_t limit = std::min(count, this->hooks.concurrencyLimit(this->now));
            const std::vector<wire::Execute> requests(limit);
            for (const wire::Execute &request : requests) {
                this->hooks.started(request, this->now);
            }
            this->now += took;
            for (const wire::Execute &request : requests) {
                this->hooks.ended(request, {.end = CallEnd::Answered, .figures = this->figures},
                                  this->now);
            }
        }
    }

    bool hasMetric(const std::string &line)
    {
        return this->metrics.toText(this->now).find("kumquatstage_" + line) != std::string::npos;
    }

    Time now = 10s;
    Metrics metrics;
    UpstreamSpeed speed;
    SpeedHooks hooks = this->speed.hooks(this->metrics);
    std::optional<UpstreamFigures> figures;
};

} // namespace

// Load: 4 requests take 20 ms together, 8 take 120 ms, so that 8 give less throughput.
TEST_CASE("fewer usable slots appear in the hooks and in the metrics", "[upstream_speed]")
{
    Rounds rounds;
    CHECK(rounds.hasMetric("usable_slots_total 8"));
    rounds.figures = UpstreamFigures{.running = 4, .slots = slots, .speedPercent = 140};
    rounds.play(50, 4, 20ms);
    for (int i = 0; i < 100; ++i) {
        rounds.play(1, slots, rounds.hooks.concurrencyLimit(rounds.now) > 4 ? 120ms : 20ms);
    }
    CHECK(rounds.hooks.usableSlots() == 4);
    CHECK(rounds.hasMetric("usable_slots_total 4"));
    CHECK(rounds.hasMetric("usable_slots_changes_total 1"));
    CHECK(rounds.hasMetric("upstream_speed_percent_total 140"));
    // Failure: the upstream restarts. Guards against figures of the former instance.
    rounds.hooks.instanceChanged(slots, rounds.now);
    CHECK(rounds.hooks.usableSlots() == slots);
    CHECK(rounds.hasMetric("usable_slots_total 8"));
}

// Load: the same while the upstream is cold. Guards against taking its warm-up for contention.
TEST_CASE("a cold upstream is not learned", "[upstream_speed]")
{
    Rounds rounds;
    rounds.speed.noteHeartbeat(60s, rounds.now);
    rounds.play(50, 4, 20ms);
    rounds.play(100, slots, 120ms);
    CHECK(rounds.hooks.usableSlots() == slots);
    CHECK(rounds.hooks.serviceSeconds(0.1, rounds.now) == 0.1);
}

// Load: as above, without the setting. Guards against limits that are tried where operators have
// not asked for them.
TEST_CASE("no limit is tried unless the settings ask for it", "[upstream_speed]")
{
    Rounds rounds(false);
    rounds.figures = UpstreamFigures{.running = 4, .slots = slots, .speedPercent = 140};
    rounds.play(50, 4, 20ms);
    for (int i = 0; i < 100; ++i) {
        CHECK(rounds.hooks.concurrencyLimit(rounds.now) == slots);
        rounds.play(1, slots, 120ms);
    }
    CHECK(rounds.hooks.usableSlots() == slots);
    CHECK(rounds.hooks.serviceSeconds(0.12, rounds.now) > 0);
}

} // namespace kumquat
