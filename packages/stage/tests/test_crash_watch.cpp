// Tests of CrashWatch: which requests count as lost in a crash of the upstream.
#include "stage/crash_watch.h"

#include <catch2/catch.hpp>

namespace kumquat {
namespace {

const UpstreamInstance first{.id = "i-1", .startedMs = 1};
const UpstreamInstance second{.id = "i-2", .startedMs = 2};

} // namespace

// Guards against a crash that counts against no request: the upstream refuses connections only
// after the request that crashed it has ended.
TEST_CASE("a request counts as lost in a crash that shows later", "[crash_watch]")
{
    CrashWatch watch;
    watch.noteLost(first, 7, 10s);
    CHECK_FALSE(watch.takeCrash(first, false, 11s).has_value());
    SECTION("nothing listens any more")
    {
        const auto crash = watch.takeCrash(first, true, 12s);
        REQUIRE(crash);
        CHECK(crash->fingerprints == std::vector<Fingerprint>{7});
        CHECK_FALSE(watch.takeCrash(first, true, 12s).has_value());
    }
    SECTION("a later instance reports")
    {
        const auto crash = watch.takeCrash(second, false, 13s);
        REQUIRE(crash);
        CHECK(crash->fingerprints == std::vector<Fingerprint>{7});
    }
}

TEST_CASE("a broken connection without a crash is forgotten", "[crash_watch]")
{
    CrashWatch watch;
    watch.noteLost(first, 7, 10s);
    CHECK_FALSE(watch.takeCrash(second, false, 21s).has_value());
}

// Guards against sound requests that count as suspects: only those lost together are reported.
TEST_CASE("requests lost long before a crash do not belong to it", "[crash_watch]")
{
    CrashWatch watch;
    watch.noteLost(first, 7, 10s);
    watch.noteLost(first, 8, 14s);
    watch.noteLost(first, 9, 14s);
    CHECK_FALSE(watch.takeCrash(first, true, 14s).has_value()); // others may follow
    const auto crash = watch.takeCrash(first, true, 15s);
    REQUIRE(crash);
    CHECK(crash->fingerprints == std::vector<Fingerprint>{8, 9});
}

TEST_CASE("the upstream is looked at once after a loss", "[crash_watch]")
{
    CrashWatch watch;
    CHECK_FALSE(watch.takeProbe(10s));
    watch.noteLost(first, 7, 10s);
    CHECK_FALSE(watch.takeProbe(10s));
    CHECK(watch.takeProbe(11s));
    CHECK_FALSE(watch.takeProbe(11s));
}

TEST_CASE("lost requests take a bounded amount of memory", "[crash_watch]")
{
    CrashWatch watch({.maxLosses = 2});
    for (Fingerprint fingerprint = 1; fingerprint <= 3; ++fingerprint) {
        watch.noteLost(first, fingerprint, 10s);
    }
    CHECK(watch.takeCrash(first, true, 11s)->fingerprints == std::vector<Fingerprint>{2, 3});
}

} // namespace kumquat
