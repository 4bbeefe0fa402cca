#include "stage/host_reach.h"

#include <catch2/catch.hpp>

namespace kumquat {
namespace {

constexpr Duration limit = 2s;
constexpr Time start = 100s;
constexpr Duration planInterval = 200ms;

} // namespace

// Load: a frozen process whose machine accepts a connection every 1.7 s, which counts as down once
// a call has waited for 600 ms. Guards against a host that gets keys and votes again and again
// although it answers nothing.
TEST_CASE("a lost host is reachable again only after a sign of life", "[host_reach]")
{
    HostReach reach(limit);
    const auto isReachable = [&](bool isDown, Time answeredAt, Time now) {
        return reach.isReachable("b", {.isDown = isDown, .answeredAt = answeredAt}, start - 1h,
                                 now);
    };
    reach.noteReport("b", start);
    CHECK(isReachable(false, start, start + limit));
    REQUIRE_FALSE(isReachable(true, start, start + limit + planInterval));
    for (int cycle = 2; cycle < 20; ++cycle) {
        const Time connected = start + cycle * 1700ms;
        CHECK_FALSE(isReachable(false, start, connected));
        CHECK_FALSE(isReachable(true, start, connected + 700ms));
    }
    SECTION("an answer")
    {
        CHECK(isReachable(false, start + 60s, start + 60s));
    }
    SECTION("a report over a working connection")
    {
        reach.noteReport("b", start + 60s);
        CHECK(isReachable(false, start, start + 60s + planInterval));
    }
}

// Guards against a lost host that is never replaced as a voter: its connection did not count as
// down although every attempt to connect failed.
TEST_CASE("a host without answers and reports is lost", "[host_reach]")
{
    HostReach reach(limit);
    const HostContact contact{.answeredAt = start};
    reach.noteReport("b", start);
    CHECK(reach.isReachable("b", contact, start - 1h, start + limit));
    CHECK_FALSE(reach.isReachable("b", contact, start - 1h, start + limit + planInterval));
}

// Guards against hosts that are taken for lost because nothing is expected of them.
TEST_CASE("a host that need not have sent anything is reachable", "[host_reach]")
{
    HostReach reach(limit);
    // A new table writer gets reports only after the other hosts have chosen it.
    CHECK(reach.isReachable("b", {}, start, start - 1h));
    CHECK(reach.isReachable("b", {}, start, start + limit));
    CHECK_FALSE(reach.isReachable("b", {}, start, start + limit + planInterval));
    // A host that has just become known has not chosen the table writer yet.
    CHECK(reach.isReachable("e", {}, start, start + 1h));
    CHECK(reach.isReachable("e", {}, start, start + 1h + limit));
    CHECK_FALSE(reach.isReachable("e", {}, start, start + 1h + limit + planInterval));
    // Hosts of other services may be voters, but send their reports elsewhere.
    CHECK(reach.isReachable("c", {.sendsReports = false}, start, start + 1h));
    // Reports show that a host lives, but not that it receives the key table.
    reach.noteReport("d", start + 1h);
    CHECK_FALSE(reach.isReachable("d", {.isDown = true}, start, start + 1h));
}

} // namespace kumquat
