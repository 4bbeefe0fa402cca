// Tests that no two upstreams hold a key at once, in random scenarios (ownership_model.h).
#include "ownership_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace kumquat {
namespace {

// Runs scenarios until one finds a violation. Returns whether one did.
bool isDetected(Guards guards, GrantMode grantMode = GrantMode::Call,
                Faults faults = Faults::Passing)
{
    const Duration length = faults == Faults::Lasting ? 60s : 30s;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        if (!OwnershipModel(seed, guards, grantMode, faults).run(length).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("no two upstreams hold a key at once under random faults", "[ownership_model]")
{
    const bool holds = rc::check("in every scenario", [](unsigned seed) {
        OwnershipModel model(seed, {});
        const std::string violation = model.run(30s);
        RC_LOG() << "seed " << seed << ": " << violation;
        RC_ASSERT(violation.empty());
    });
    CHECK(holds);
}

// Guards against a model in which the property above holds because no key is ever granted, and
// against keys that stay without a holder after the faults.
TEST_CASE("all keys are held again after the faults of a scenario", "[ownership_model]")
{
    for (const unsigned seed : {7U, 8U, 9U}) {
        OwnershipModel model(seed, {});
        REQUIRE(model.run(30s).empty());
        model.endFaults();
        REQUIRE(model.run(15s).empty());
        INFO("seed " << seed);
        CHECK(model.heldKeysWithin(2s) == lastShardKey + 1);
    }
}

TEST_CASE("no two upstreams hold a key at once with grants in heartbeat answers",
          "[ownership_model]")
{
    const bool holds = rc::check("in every scenario", [](unsigned seed) {
        OwnershipModel model(seed, {}, GrantMode::Heartbeat);
        const std::string violation = model.run(30s);
        RC_LOG() << "seed " << seed << ": " << violation;
        RC_ASSERT(violation.empty());
    });
    CHECK(holds);
    OwnershipModel model(7, {}, GrantMode::Heartbeat);
    REQUIRE(model.run(30s).empty());
    CHECK(model.heldKeys() > 0);
}

TEST_CASE("the scenarios find a violation for each safety measure that is switched off",
          "[ownership_model]")
{
    CHECK(isDetected({.proofs = false}, GrantMode::Heartbeat));
    CHECK(isDetected({.leaseBounds = false}, GrantMode::Heartbeat));
    CHECK(isDetected({.reportOrder = false}, GrantMode::Heartbeat));
    CHECK(isDetected({.runningWork = false}, GrantMode::Heartbeat));
    CHECK(isDetected({.proofs = false}));
    CHECK(isDetected({.leaseBounds = false}));
    CHECK(isDetected({.lateGrants = false}));
    CHECK(isDetected({.lateOrders = false}));
    CHECK(isDetected({.freshTables = false}, GrantMode::Call, Faults::Lasting));
    CHECK(isDetected({.earlierGrants = false}, GrantMode::Call, Faults::ClockSteps));
}

// Guards against a restarted process that denies the grants of the one before because the wall
// clock of its host has stepped: it took the upstream instance for one that had started later.
TEST_CASE("no two upstreams hold a key at once while upstreams restart and clocks step",
          "[ownership_model]")
{
    for (const GrantMode grantMode : {GrantMode::Call, GrantMode::Heartbeat}) {
        const bool holds = rc::check("in every scenario", [grantMode](unsigned seed) {
            OwnershipModel model(seed, {}, grantMode, Faults::ClockSteps);
            const std::string violation = model.run(30s);
            RC_LOG() << "seed " << seed << ": " << violation;
            RC_ASSERT(violation.empty());
        });
        CHECK(holds);
    }
    for (const unsigned seed : {7U, 8U, 9U}) {
        OwnershipModel model(seed, {}, GrantMode::Call, Faults::ClockSteps);
        REQUIRE(model.run(30s).empty());
        model.endFaults();
        REQUIRE(model.run(15s).empty());
        INFO("seed " << seed);
        CHECK(model.heldKeysWithin(2s) == lastShardKey + 1);
    }
}

// Guards against a takeover from an owner that is out of touch with its successor but not lost.
TEST_CASE("no two upstreams hold a key at once while hosts are lost or cut off in groups",
          "[ownership_model]")
{
    for (const GrantMode grantMode : {GrantMode::Call, GrantMode::Heartbeat}) {
        const bool holds = rc::check("in every scenario", [grantMode](unsigned seed) {
            OwnershipModel model(seed, {}, grantMode, Faults::Lasting);
            const std::string violation = model.run(60s);
            RC_LOG() << "seed " << seed << ": " << violation;
            RC_ASSERT(violation.empty());
        });
        CHECK(holds);
    }
}

// Guards against keys that are never served again: with their owner also most of its voters are
// gone, and nobody is left to prove that it has stopped.
TEST_CASE("the hosts that are left hold all keys again after a loss of any number of hosts",
          "[ownership_model]")
{
    constexpr Duration recovery = 18s; // the end of silent sessions and TableFreshness
    for (int left = 1; left < hostCount; ++left) {
        OwnershipModel model(7, {}, GrantMode::Call, Faults::None);
        REQUIRE(model.run(10s).empty());
        for (int i = left; i < hostCount; ++i) {
            model.lose(i);
        }
        REQUIRE(model.run(recovery).empty());
        INFO(left << " hosts left");
        CHECK(model.heldKeysWithin(2s) == lastShardKey + 1);
    }
}

// The same for hosts that are lost one after the other, each after the voters were replaced.
TEST_CASE("the last host holds all keys after the others were lost one by one", "[ownership_model]")
{
    OwnershipModel model(7, {}, GrantMode::Call, Faults::None);
    REQUIRE(model.run(10s).empty());
    for (int i = hostCount - 1; i > 0; --i) {
        model.lose(i);
        REQUIRE(model.run(8s).empty());
        INFO(i << " hosts left");
        CHECK(model.heldKeysWithin(2s) == lastShardKey + 1);
    }
}

// Guards against an evacuation that hands keys over without the consent of their owner, and against
// keys that stay without a holder after it.
TEST_CASE("no two upstreams hold a key at once while data centres are evacuated",
          "[ownership_model]")
{
    for (const GrantMode grantMode : {GrantMode::Call, GrantMode::Heartbeat}) {
        const bool holds = rc::check("in every scenario", [grantMode](unsigned seed) {
            OwnershipModel model(seed, {}, grantMode, Faults::Evacuations);
            const std::string violation = model.run(30s);
            RC_LOG() << "seed " << seed << ": " << violation;
            RC_ASSERT(violation.empty());
        });
        CHECK(holds);
    }
    for (const unsigned seed : {7U, 8U, 9U}) {
        OwnershipModel model(seed, {}, GrantMode::Call, Faults::Evacuations);
        REQUIRE(model.run(30s).empty());
        model.endFaults();
        REQUIRE(model.run(15s).empty());
        INFO("seed " << seed);
        CHECK(model.heldKeysWithin(2s) == lastShardKey + 1);
    }
    CHECK(isDetected({.proofs = false}, GrantMode::Call, Faults::Evacuations));
}

} // namespace kumquat
