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

// Guards the targets of section 8 of the design page against a worse policy.
TEST_CASE("the policy meets its targets on the short traces")
{
    for (const Trace &trace : makeTraces(seed, true)) {
        const Result result = replay(trace, Strategy::Policy);
        INFO(trace.name << " " << trace.service << ": " << result.verdict());
        CHECK(result.largestKeyShare <= 1);
        CHECK(result.meetsTargets());
    }
}

// Guards against targets that any placement would meet.
TEST_CASE("the baselines miss the targets")
{
    REQUIRE_FALSE(
            replay(findTrace("shutdown-week", "testlog"), Strategy::Rendezvous).meetsTargets());
    REQUIRE_FALSE(
            replay(findTrace("steady-day", "testlog"), Strategy::NoHysteresis).meetsTargets());
}

// Guards against a row that blames the policy for load which no move could take away, and against
// a reason that is printed without a cause.
TEST_CASE("a missed target names the reason that the run shows")
{
    Result cut = replay(findTrace("region-cut", "certdesk", 1), Strategy::Policy);
    CHECK(cut.missed.total > 0);
    CHECK(cut.missed.withoutLog == cut.missed.total);
    CHECK(cut.verdict().find("had no log") != std::string::npos);
    cut.missed = {};
    CHECK(cut.verdict() == "missed: imbalance");
    const Result plain = replay(findTrace("shutdown-week", "testlog"), Strategy::Rendezvous);
    CHECK(plain.missed.withoutLog == 0);
    CHECK(plain.verdict().find("had no log") == std::string::npos);
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

// Guards against requests that the model loses or counts twice.
TEST_CASE("every request is done, not run or unknown")
{
    const Trace trace = findTrace("region-cut", "testlog");
    const Result policy = replay(trace, Strategy::Policy);
    const Result plain = replay(trace, Strategy::Rendezvous);
    const double sum = policy.done + policy.notRun + policy.unknown;
    REQUIRE(sum == Approx(plain.done + plain.notRun + plain.unknown).epsilon(1e-9));
    REQUIRE(policy.notRun > 0);
}

// Guards against slots that stay without an owner, and against a slower takeover of one owner.
TEST_CASE("lost slots are served again")
{
    for (const EngineTrace &trace : makeEngineTraces(seed)) {
        const EngineResult result = EngineWorld(trace).run();
        INFO(trace.user << " " << engineFaultNames.nameOf(trace.fault));
        CHECK(result.lostSlots > 0);
        CHECK(result.unserved == 0);
        CHECK(result.appends < 50);
        CHECK(result.steadyBytes < 4'000);
        CHECK(result.meetsTarget());
    }
}

// Guards against survivors whose records hold up those that end unavailable time, and against
// repeats that keep a slow log full: before the appends were spread, this trace had 164 of them.
TEST_CASE("a lost data centre does not flood a slow log")
{
    const EngineResult result = EngineWorld(makeBusyLogTrace(60, seed)).run();
    CHECK(result.lostSlots > 0);
    CHECK(result.unserved == 0);
    CHECK(result.appends < 100);
    CHECK(result.meetsTarget());
}
