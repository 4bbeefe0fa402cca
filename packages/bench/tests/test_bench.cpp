#include "bench/engine_trace.h"
#include "bench/table.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::bench;

namespace {

constexpr std::uint64_t seed = 20261204;

Result replay(const Trace &trace, Strategy strategy)
{
    return Simulation(trace, strategy, PlacementSettings{}, ModelTimes{}).run();
}

Trace findTrace(const std::string &name, const std::string &service, std::uint64_t traceSeed = seed)
{
    for (const Trace &trace : makeTraces(traceSeed, true)) {
        if (trace.name == name && trace.service == service) {
            return trace;
        }
    }
    FAIL("no trace " << name << " of " << service);
    return {};
}

} // namespace

// Guards against a policy that no longer meets the targets of section 8 of the design page.
TEST_CASE("the policy meets its targets on the short traces")
{
    for (const Trace &trace : makeTraces(seed, true)) {
        const Result result = replay(trace, Strategy::Policy);
        INFO(trace.name << " " << trace.service << ": " << result.verdict());
        CHECK(result.largestKeyShare <= 1);
        CHECK(result.meetsTargets());
    }
}

// Guards against targets that are so weak that any placement meets them.
TEST_CASE("the baselines miss the targets")
{
    REQUIRE_FALSE(
            replay(findTrace("shutdown-week", "testlog"), Strategy::Rendezvous).meetsTargets());
    REQUIRE_FALSE(
            replay(findTrace("steady-day", "testlog"), Strategy::NoHysteresis).meetsTargets());
}

// Guards against a result row that attributes load to the policy although no move could have
// removed it, and against a printed cause that did not occur in the run.
TEST_CASE("the text for a missed target names the cause found in the run")
{
    Result cut = replay(findTrace("region-cut", "certdesk", 1), Strategy::Policy);
    CHECK(cut.missed.total > 0);
    CHECK(cut.missed.withoutLog == cut.missed.total);
    CHECK(cut.verdict().find("had no log") != std::string::npos);
    cut.missed = {};
    CHECK(cut.verdict() == "missed: imbalance");
    const Result rendezvous = replay(findTrace("shutdown-week", "testlog"), Strategy::Rendezvous);
    CHECK(rendezvous.missed.withoutLog == 0);
    CHECK(rendezvous.verdict().find("had no log") == std::string::npos);
    const Result met = replay(findTrace("shutdown-week", "testlog"), Strategy::Policy);
    CHECK(met.verdict() == "met");
}

TEST_CASE("a run can be repeated exactly and compared with an earlier one")
{
    const Trace trace = findTrace("shutdown-week", "certdesk");
    const Result first = replay(trace, Strategy::Policy);
    Result second = replay(trace, Strategy::Policy);
    REQUIRE(first.series == second.series);
    const std::string earlier = formatJson({first}, seed);
    REQUIRE(earlier == formatJson({second}, seed));
    REQUIRE(formatComparison({second}, earlier)->find("certdesk") == std::string::npos);
    second.logAppends *= 2;
    REQUIRE(formatComparison({second}, earlier)->find("appends") != std::string::npos);
    REQUIRE_FALSE(formatComparison({second}, "[]").ok());
}

// Guards against requests that the model omits or counts twice.
TEST_CASE("every request is counted once as done, not run or unknown")
{
    const Trace trace = findTrace("region-cut", "testlog");
    const Result policy = replay(trace, Strategy::Policy);
    const Result rendezvous = replay(trace, Strategy::Rendezvous);
    const double sum = policy.done + policy.notRun + policy.unknown;
    REQUIRE(sum == Approx(rendezvous.done + rendezvous.notRun + rendezvous.unknown).epsilon(1e-9));
    REQUIRE(policy.notRun > 0);
}

// Guards against slots that remain without an owner, and against a slower takeover.
TEST_CASE("lost slots are served again")
{
    for (const EngineTrace &trace : makeEngineTraces(seed)) {
        const EngineResult result = EngineSimulation(trace).run();
        INFO(trace.user << " " << engineFaultNames.nameOf(trace.fault));
        CHECK(result.lostSlots > 0);
        CHECK(result.unserved == 0);
        CHECK(result.appends < 50);
        CHECK(result.steadyBytes < 4'000);
        CHECK(result.meetsTarget());
    }
}

// Guards against records of surviving nodes that delay the records which end the unavailability,
// and against repeated appends that keep a slow log busy. Before the appends were spread over time,
// this trace had 164 appends.
TEST_CASE("a lost data centre does not flood a slow log")
{
    const EngineResult result = EngineSimulation(makeBusyLogTrace(60, seed)).run();
    CHECK(result.lostSlots > 0);
    CHECK(result.unserved == 0);
    CHECK(result.appends < 100);
    CHECK(result.meetsTarget());
}
