// Sections: schedules, random faults, directed schedules, availability.
#include "harness.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <iostream>

using namespace kumquat;
using namespace kumquat::test;

namespace {

// ---- schedules ----

constexpr int maxFaults = 16;       // maximum number of faults in one run
constexpr int maxRandomRuns = 1500; // random runs within which a missing guard must be found

// Draws from the whole range. RapidCheck narrows ranges by its size parameter, which is also used
// here to limit the number of faults.
template <typename T>
rc::Gen<T> drawFromWholeRange(rc::Gen<T> gen)
{
    return rc::gen::resize(rc::kNominalSize, std::move(gen));
}

rc::Gen<Fault> genFault()
{
    return rc::gen::map(drawFromWholeRange(rc::gen::tuple(
                                rc::gen::inRange(0, faultKindCount), rc::gen::inRange(0, 5),
                                rc::gen::inRange(0, 5), rc::gen::inRange(2000, 7000),
                                rc::gen::inRange(20, 3000), rc::gen::arbitrary<bool>())),
                        [](const std::tuple<int, int, int, int, int, bool> &drawn) {
                            Fault fault;
                            fault.kind = static_cast<FaultKind>(std::get<0>(drawn));
                            fault.node = std::get<1>(drawn);
                            fault.other = std::get<2>(drawn);
                            fault.at = std::chrono::milliseconds(std::get<3>(drawn));
                            fault.duration = std::chrono::milliseconds(std::get<4>(drawn));
                            fault.atOwner = std::get<5>(drawn);
                            return fault;
                        });
}

// Draws a schedule of random faults. Before they begin, moves distribute the slots of the first
// owner to the other nodes.
rc::Gen<Schedule> genSchedule()
{
    return rc::gen::map(
            rc::gen::tuple(
                    drawFromWholeRange(rc::gen::inRange<std::uint64_t>(1, 1'000'000)),
                    drawFromWholeRange(rc::gen::inRange(3, 6)),
                    rc::gen::resize(maxFaults, rc::gen::container<std::vector<Fault>>(genFault()))),
            [](const std::tuple<std::uint64_t, int, std::vector<Fault>> &drawn) {
                Schedule schedule;
                schedule.seed = std::get<0>(drawn);
                schedule.nodes = std::get<1>(drawn);
                schedule.faults = std::get<2>(drawn);
                for (int other = 0; other < schedule.nodes; ++other) {
                    Fault move;
                    move.kind = FaultKind::Move;
                    move.node = other % World::keys;
                    move.other = other;
                    move.at = 1700ms + other * 50ms;
                    move.atOwner = true;
                    schedule.faults.push_back(move);
                }
                return schedule;
            });
}

// Draws faults of three nodes within 3 s, so that many of them coincide.
rc::Gen<Schedule> genDenseSchedule()
{
    return rc::gen::map(genSchedule(), [](Schedule schedule) {
        for (Fault &fault : schedule.faults) {
            if (fault.at >= 2s) {
                fault.node %= 3;
                fault.at = 2s + fault.at % 3s;
            }
        }
        return schedule;
    });
}

// Returns the number of the first random run with a violation, or nothing if no run up to `limit`
// has one.
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

Fault makeFault(FaultKind kind, int node, Duration at, Duration duration, int other = 0)
{
    Fault fault;
    fault.kind = kind;
    fault.node = node;
    fault.other = other;
    fault.at = at;
    fault.duration = duration;
    return fault;
}

// Returns a directed schedule. Node 0 owns all slots at first; with 4 nodes its peers are the other
// three.
Schedule makeSchedule(std::vector<Fault> faults, int nodes = 4)
{
    Schedule schedule;
    schedule.nodes = nodes;
    schedule.faults = std::move(faults);
    return schedule;
}

// Cuts messages from node 0 to all others.
void cutOutgoing(std::vector<Fault> &faults, Duration at, Duration duration)
{
    faults.push_back(makeFault(FaultKind::CutOutgoing, 0, at, duration));
}

// Returns the number of seeds with a violation, out of 20.
int countViolations(Schedule schedule, WorldOptions options)
{
    int count = 0;
    options.directed = true;
    for (schedule.seed = 1; schedule.seed <= 20; ++schedule.seed) {
        World world(schedule, options);
        world.run();
        count += world.violations().empty() ? 0 : 1;
    }
    return count;
}

// Returns the numbers of seeds with a violation, first without and then with the guard.
std::pair<int, int> compareGuard(bool Guards::*guard, const std::vector<Fault> &faults,
                                 WorldOptions options = {}, int nodes = 4)
{
    const int with = countViolations(makeSchedule(faults, nodes), options);
    options.guards.*guard = false;
    const int without = countViolations(makeSchedule(faults, nodes), options);
    return {without, with};
}

} // namespace

// ---- random faults ----

// Guards against two upstreams that run requests of one key at the same time (P1).
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
}

// Guards against the same failure when faults coincide and clocks are at the bounds of their drift.
TEST_CASE("no key has two owners when faults of few nodes coincide")
{
    rc::prop("no key has two owners", [] {
        WorldOptions options;
        options.length = 7s;
        options.maxCallTime = *rc::gen::element<Duration>(100ms, 900ms, 1150ms);
        options.journalCopyTime = *rc::gen::element<Duration>(0ms, 400ms, 1150ms);
        World world(*genDenseSchedule(), options);
        world.run();
        RC_LOG() << (world.violations().empty() ? "" : world.violations().front());
        RC_ASSERT(world.violations().empty());
    });
}

// Guards against two owners of a key after a session ends, or changes its peers twice, while leases
// of an older peer set have not expired. RapidCheck found and reduced these schedules.
TEST_CASE("leases of older peer sets count to their end")
{
    WorldOptions options;
    options.length = 7s;
    options.maxCallTime = 1150ms;
    options.journalCopyTime = 1150ms;
    for (const int nodes : {3, 4}) {
        Schedule schedule = makeSchedule({}, nodes);
        if (nodes == 3) {
            schedule.faults = {{FaultKind::Isolate, 0, 0, 4000ms, 288ms},
                               {FaultKind::LogOutage, 0, 0, 2000ms, 1749ms}};
        } else {
            schedule.faults = {{FaultKind::Isolate, 0, 0, 2915ms, 439ms, true},
                               {FaultKind::LogOutage, 0, 0, 2084ms, 720ms}};
        }
        for (int other = 0; other < nodes; ++other) {
            schedule.faults.push_back(
                    {FaultKind::Move, other, other, 1700ms + other * 50ms, 0s, true});
        }
        World world(schedule, options);
        world.run();
        REQUIRE(world.violations().empty());
    }
}

// Guards against states in which no process can get proof, a lease or peers any more.
TEST_CASE("every key is served again after all faults")
{
    rc::prop("every key is served again", [] {
        WorldOptions options;
        options.length = 22s; // the last fault ends at 10 s
        World world(*genSchedule(), options);
        world.run();
        for (int key = 0; key < World::keys; ++key) {
            RC_ASSERT(world.findMaxGap(key, 19s, 22s) < 1s);
        }
    });
}

// Guards against fault injection that is too weak to detect a missing guard. The guards that are
// not listed here need rarer combinations of faults; the directed schedules below test them.
TEST_CASE("random faults detect a missing guard")
{
    const std::vector<bool Guards::*> guards{&Guards::noGrantAfterEnd,  &Guards::releaseAfterGrants,
                                             &Guards::allPredecessors,  &Guards::allPeerSets,
                                             &Guards::waitAfterRestart, &Guards::driftMargin};
    for (std::size_t index = 0; index < guards.size(); ++index) {
        Guards off;
        off.*guards[index] = false;
        const std::optional<int> run = findViolation(off, maxRandomRuns);
        std::cout << "guard " << index << " off: violation in run " << run.value_or(0) << "\n";
        CHECK(run.has_value());
    }
}

// ---- directed schedules ----

// The grants to the owner arrive late. Then its outgoing messages and its log reads are cut, so it
// does not read that it was fenced.
TEST_CASE("directed: a lease starts when its renewal is sent")
{
    std::vector<Fault> faults{makeFault(FaultKind::LogCut, 0, 4s, 4s)};
    cutOutgoing(faults, 4500ms, 3s);
    for (int peer = 1; peer < 4; ++peer) {
        faults.push_back(makeFault(FaultKind::SlowMessages, peer, 4s, 700ms, 0));
    }
    const auto [without, with] = compareGuard(&Guards::leaseFromSending, faults);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// The owner is fenced because it is silent, does not read the Fence, and renews again after its
// peers have released its session. An outage keeps Released out of the log.
TEST_CASE("directed: a peer grants nothing after the end of a session")
{
    std::vector<Fault> faults{makeFault(FaultKind::LogCut, 0, 4s, 4s),
                              makeFault(FaultKind::LogOutage, 0, 5600ms, 4s)};
    cutOutgoing(faults, 4500ms, 1400ms);
    const auto [without, with] = compareGuard(&Guards::noGrantAfterEnd, faults);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// The owner is silent and fenced. It and two peers have not read the Fence when the new owner
// requests the releases.
TEST_CASE("directed: a peer releases a session only after reading its end")
{
    std::vector<Fault> faults;
    for (int node = 0; node < 3; ++node) {
        faults.push_back(makeFault(FaultKind::LogLag, node, 4s, 3s));
    }
    cutOutgoing(faults, 4500ms, 1500ms);
    const auto [without, with] = compareGuard(&Guards::releaseAfterReading, faults);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// The owner is cut off. Its peers read the Fence while their grants have not expired.
TEST_CASE("directed: a peer releases no session before its grant expires")
{
    std::vector<Fault> faults{makeFault(FaultKind::LogCut, 0, 4s, 4s)};
    cutOutgoing(faults, 4500ms, 3s);
    const auto [without, with] = compareGuard(&Guards::releaseAfterGrants, faults);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// No grants reach the owner for some time, so it appends a new peer set. It does not read that
// record and continues with the old peers when their grants arrive again. The new peers have never
// granted and fence it. An owner without a lease would normally end its session before, unless it
// is the only session of the service or the append fails, so this rule is switched off here.
TEST_CASE("directed: every peer set must have released the session")
{
    std::vector<Fault> faults{makeFault(FaultKind::LogLag, 0, 5500ms, 8s)};
    for (int other = 1; other < 6; ++other) {
        faults.push_back(makeFault(FaultKind::CutOneWay, other, 3s, 3700ms, 0));
    }
    WorldOptions options;
    options.length = 10s;
    options.lostLeaseTimeout = 1h;
    const auto [without, with] = compareGuard(&Guards::allPeerSets, faults, options, 6);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// The first session has no peers, so its lease has no end. It is cut off while it settles its first
// peer set, between two renewals. Requests that it dispatched before must end first.
TEST_CASE("directed: a peer set is settled after the leases of older sets")
{
    WorldOptions options;
    options.directed = true;
    options.callInterval = 8ms;
    options.maxCallTime = 1150ms;
    options.journalCopyTime = 1150ms; // not a multiple of the renewal interval
    options.length = 6s;
    int without = 0;
    int with = 0;
    for (Duration cut = 2500ms; cut < 3600ms; cut += 10ms) {
        std::vector<Fault> faults{makeFault(FaultKind::LogCut, 0, cut + 35ms, 4s)};
        cutOutgoing(faults, cut, 4s);
        for (const bool guarded : {true, false}) {
            options.guards.settleAfterLease = guarded;
            World world(makeSchedule(faults), options);
            world.run();
            (guarded ? with : without) += world.violations().empty() ? 0 : 1;
        }
    }
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// The owner moves slots away, does not read the Move and continues to serve them; the next owner
// crashes.
TEST_CASE("directed: every predecessor must have stopped")
{
    const std::vector<Fault> faults{makeFault(FaultKind::LogLag, 0, 4s, 4s),
                                    makeFault(FaultKind::Move, 0, 4200ms, 0s, 1),
                                    makeFault(FaultKind::Crash, 1, 4500ms, 4s)};
    const auto [without, with] = compareGuard(&Guards::allPredecessors, faults);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// Two peers release a session, restart and read the log slowly while the owner renews again.
TEST_CASE("directed: a restarted peer reads the log to its end before it grants")
{
    std::vector<Fault> faults{makeFault(FaultKind::LogCut, 0, 4s, 16s)};
    cutOutgoing(faults, 4500ms, 1500ms);
    for (int peer = 1; peer < 3; ++peer) {
        faults.push_back(makeFault(FaultKind::LogSingleReads, peer, 6s, 14s));
        faults.push_back(makeFault(FaultKind::Crash, peer, 6s, 20ms));
    }
    WorldOptions options;
    options.length = 16s;
    const auto [without, with] = compareGuard(&Guards::readAfterRestart, faults, options);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// The owner's clock is slow and the clocks of its peers are fast, both at the drift bound.
TEST_CASE("directed: lease and grant allow for clock drift")
{
    std::vector<Fault> faults{makeFault(FaultKind::LogCut, 0, 4s, 4s)};
    cutOutgoing(faults, 4500ms, 3s);
    WorldOptions options;
    options.slowOwner = true;
    options.callInterval = 3ms;
    const auto [without, with] = compareGuard(&Guards::driftMargin, faults, options);
    REQUIRE(without > 0);
    REQUIRE(with == 0);
}

// ---- availability ----

WorldOptions availabilityOptions()
{
    WorldOptions options;
    options.directed = true;
    options.quickCalls = true;
    options.callInterval = 4ms;
    options.length = 16s;
    return options;
}

// Runs the schedule with 10 seeds. Returns the longest time without a served call, over all keys.
Duration findMaxGapOfSeeds(const std::vector<Fault> &faults, Duration from, Duration until,
                           int nodes = 4)
{
    Duration gap{0};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Schedule schedule = makeSchedule(faults, nodes);
        schedule.seed = seed;
        for (Fault &fault : schedule.faults) {
            fault.at += seed * 37ms; // shifts the fault relative to the renewals
        }
        World world(schedule, availabilityOptions());
        world.run();
        REQUIRE(world.violations().empty());
        for (int key = 0; key < World::keys; ++key) {
            gap = std::max(gap, world.findMaxGap(key, from, until));
        }
    }
    return gap;
}

// Guards against a takeover of a lost owner's slots that takes 2 s or longer.
TEST_CASE("the slots of a lost owner are served again within 2 s")
{
    const Duration gap = findMaxGapOfSeeds({makeFault(FaultKind::Crash, 0, 6s, 30s)}, 5s, 12s);
    std::cout << "lost owner: longest gap " << gap / 1ms << " ms\n";
    REQUIRE(gap < 2s);
}

// Guards against a restart of an owner that takes longer than a takeover.
TEST_CASE("the slots of a restarted owner are served again within 2 s")
{
    const Duration gap = findMaxGapOfSeeds({makeFault(FaultKind::Crash, 0, 6s, 500ms)}, 5s, 12s);
    std::cout << "restarted owner: longest gap " << gap / 1ms << " ms\n";
    REQUIRE(gap < 2s);
}

// Guards against owners whose leases depend on the log.
TEST_CASE("owners serve during an outage of the log")
{
    const Duration gap = findMaxGapOfSeeds({makeFault(FaultKind::LogOutage, 0, 5s, 8s)}, 4s, 15s);
    std::cout << "log outage: longest gap " << gap / 1ms << " ms\n";
    REQUIRE(gap < 50ms);
}

// Guards against a takeover that takes 1 s or longer after the log answers again.
TEST_CASE("an owner lost during an outage of the log is replaced when the log answers again")
{
    const Duration gap = findMaxGapOfSeeds(
            {makeFault(FaultKind::LogOutage, 0, 5s, 4s), makeFault(FaultKind::Crash, 0, 6s, 30s)},
            5s, 15s);
    std::cout << "lost owner in an outage of 4 s: longest gap " << gap / 1ms << " ms\n";
    REQUIRE(gap < 4s + 1s);
}

// Guards against a slow handover. Both sides must read the record (at most 30 ms each way to and
// from the log), and one message follows.
TEST_CASE("a drain or a move refuses requests only during the handover")
{
    const Duration drain = findMaxGapOfSeeds({makeFault(FaultKind::Drain, 0, 6s, 30s)}, 5s, 12s);
    const Duration move = findMaxGapOfSeeds({makeFault(FaultKind::Move, 0, 6s, 0s, 1)}, 5s, 12s);
    std::cout << "longest gap of a drain " << drain / 1ms << " ms, of a move " << move / 1ms
              << " ms\n";
    REQUIRE(drain < 150ms);
    REQUIRE(move < 150ms);
}

// Guards against an owner that stops serving although it still reaches a majority of its peers.
TEST_CASE("an owner serves with one peer cut off")
{
    const Duration gap =
            findMaxGapOfSeeds({makeFault(FaultKind::CutBothWays, 0, 5s, 9s, 1)}, 4s, 15s);
    std::cout << "one peer cut off: longest gap " << gap / 1ms << " ms\n";
    REQUIRE(gap < 50ms);
}

// Guards against small clusters that stop serving for longer than a takeover when a node is lost.
TEST_CASE("clusters of two and three nodes serve again within 2 s after the loss of a node")
{
    for (const int nodes : {2, 3}) {
        for (const int lost : {0, 1}) {
            const Duration gap =
                    findMaxGapOfSeeds({makeFault(FaultKind::Crash, lost, 6s, 30s)}, 5s, 15s, nodes);
            std::cout << nodes << " nodes, node " << lost << " lost: longest gap " << gap / 1ms
                      << " ms\n";
            CHECK(gap < 2s);
        }
    }
}
