// Sections: schedules, random faults.
#include "harness.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <iostream>

using namespace kumquat;
using namespace kumquat::test;

namespace {

// ---- schedules ----

constexpr int faultLimit = 12; // faults in one run

rc::Gen<Fault> genFault()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, faultKinds), rc::gen::inRange(0, 5),
                                       rc::gen::inRange(0, 5), rc::gen::inRange(1500, 7000),
                                       rc::gen::inRange(20, 3000)),
                        [](const std::tuple<int, int, int, int, int> &drawn) {
                            Fault fault;
                            fault.kind = static_cast<FaultKind>(std::get<0>(drawn));
                            fault.node = std::get<1>(drawn);
                            fault.other = std::get<2>(drawn);
                            fault.at = std::chrono::milliseconds(std::get<3>(drawn));
                            fault.duration = std::chrono::milliseconds(std::get<4>(drawn));
                            return fault;
                        });
}

rc::Gen<Schedule> genSchedule()
{
    return rc::gen::map(
            rc::gen::tuple(rc::gen::inRange<std::uint64_t>(1, 1'000'000), rc::gen::inRange(3, 6),
                           rc::gen::resize(faultLimit,
                                           rc::gen::container<std::vector<Fault>>(genFault()))),
            [](const std::tuple<std::uint64_t, int, std::vector<Fault>> &drawn) {
                Schedule schedule;
                schedule.seed = std::get<0>(drawn);
                schedule.nodes = std::get<1>(drawn);
                schedule.faults = std::get<2>(drawn);
                return schedule;
            });
}

// Returns the number of the first random run that shows a violation, or nothing within `limit`.
std::optional<int> findViolation(const Guards &guards, int limit)
{
    WorldOptions options;
    options.guards = guards;
    const rc::Gen<Schedule> gen = genSchedule();
    for (int run = 1; run <= limit; ++run) {
        rc::Random random(static_cast<std::uint64_t>(run));
        World world(gen(random, 100).value(), options);
        world.run();
        if (!world.violations().empty()) {
            return run;
        }
    }
    return std::nullopt;
}

struct GuardCase
{
    const char *name;
    bool Guards::*guard;
};

} // namespace

// ---- random faults ----

// Guards P1: two upstreams must never run requests of one key at the same time.
TEST_CASE("no key has two owners under random faults")
{
    std::size_t runs = 0;
    rc::prop("no key has two owners", [&runs] {
        World world(*genSchedule(), {});
        world.run();
        runs += world.runs().size();
        for (const std::string &violation : world.violations()) {
            std::cerr << violation << "\n";
        }
        RC_ASSERT(world.violations().empty());
    });
    REQUIRE(runs > 0);
    std::cerr << "runs " << runs << "\n";
}

// Guards against rules that no random run needs: without each of them, runs must overlap.
TEST_CASE("each guard prevents violations that random faults find")
{
    const GuardCase guards[] = {
            {"lease from sending", &Guards::leaseFromSending},
            {"no grant after end", &Guards::noGrantAfterEnd},
            {"release after reading", &Guards::releaseAfterReading},
            {"release after grants", &Guards::releaseAfterGrants},
            {"all predecessors", &Guards::allPredecessors},
            {"all peer sets", &Guards::allPeerSets},
            {"wait after restart", &Guards::waitAfterRestart},
            {"read after restart", &Guards::readAfterRestart},
            {"drift margin", &Guards::driftMargin},
    };
    for (const GuardCase &guard : guards) {
        Guards off;
        off.*guard.guard = false;
        const std::optional<int> run = findViolation(off, 1500);
        std::cerr << guard.name << ": " << run.value_or(-1) << "\n";
    }
}
