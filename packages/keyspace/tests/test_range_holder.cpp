// Tests of RangeHolder with GrantMode::Call: grants and releases of one upstream.
#include "keyspace/range_holder.h"

#include "base/durations.h"
#include "keyspace/lease.h"

#include <catch2/catch.hpp>

namespace kumquat {
namespace {

constexpr std::uint64_t ownSession = 5;
constexpr std::uint64_t otherSession = 6;
constexpr KeySpan lowKeys{.first = 0, .last = 999};
constexpr KeySpan highKeys{.first = 1000, .last = lastShardKey};

// Returns a table in which `lowOwner` owns the first 1,000 keys and `otherSession` the others.
KeyTable makeTable(std::uint64_t lowOwner, std::uint64_t lowFence)
{
    KeyTable table;
    table.service = "testlog";
    table.end = lowFence;
    table.sessions = {{.id = ownSession, .node = "a"}, {.id = otherSession, .node = "b"}};
    table.ranges = {{.span = lowKeys, .owner = lowOwner, .fence = lowFence},
                    {.span = highKeys, .owner = otherSession, .fence = 1}};
    return table;
}

// Returns a holder whose process has run so long that grants of an earlier process have expired.
RangeHolder makeHolder()
{
    return RangeHolder(HolderSettings{}, -1h);
}

// Assigns the low keys to the holder under fence 1 and returns its grant order.
HoldOrder grantLowKeys(RangeHolder &holder, Time now)
{
    holder.setLease(now + 10s);
    holder.assign(makeTable(ownSession, 1), ownSession, now);
    const std::vector<HoldOrder> orders = holder.takeOrders(now);
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].kind == HoldOrderKind::Grant);
    return orders[0];
}

} // namespace

TEST_CASE("a granted range is held until its hold ends", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    const HoldOrder grant = grantLowKeys(holder, 1s);
    CHECK(holder.access(7, 1s) == KeyAccess::Pending);
    holder.noteGrant(grant.number, GrantOutcome::Accepted, 1010ms);
    CHECK(holder.access(7, 1010ms) == KeyAccess::Held);
    CHECK(holder.access(7, 1s + grant.hold) == KeyAccess::Pending);
    CHECK(holder.access(1000, 1010ms) == KeyAccess::Elsewhere);
}

// Guards against a host that has lost its voters and still serves keys while its successor does.
TEST_CASE("no hold outlasts the lease", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    holder.setLease(1500ms);
    holder.assign(makeTable(ownSession, 1), ownSession, 1s);
    const std::vector<HoldOrder> orders = holder.takeOrders(1s);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].hold * 1.02 <= 500ms);
    holder.noteGrant(orders[0].number, GrantOutcome::Accepted, 1001ms);
    CHECK(holder.takeOrders(1450ms).empty());
}

// Guards against two owners of a key: the process is killed while the upstream lives on, and the
// next process takes a holder without any record for an upstream without any key (KR-15).
TEST_CASE("an empty holder proves nothing until the grants of an earlier process have ended",
          "[range_holder]")
{
    RangeHolder holder(HolderSettings{}, 10s);
    const Time end = 10s + HolderSettings{}.maxHold * 102 / 100;
    CHECK_FALSE(holder.holdsNothing(10s));
    CHECK_FALSE(holder.holdsNothing(end - 1ms));
    CHECK(holder.holdsNothing(end));
}

// Guards against two owners of a key: a process that has just started took an upstream instance for
// one without grants of the process before, because its start time was later by the wall clock. The
// end of an instance that it has known itself proves nothing about these grants either.
TEST_CASE("a new instance of the upstream does not end the wait for earlier grants",
          "[range_holder]")
{
    RangeHolder holder(HolderSettings{}, 10s);
    const Time end = 10s + HolderSettings{}.maxHold * 102 / 100;
    holder.noteUpstreamEnded(10s);
    CHECK_FALSE(holder.holdsNothing(10s));
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 10s).stopped);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, end - 1ms).stopped);
    CHECK(holder.answerStop(lowKeys, 1, end).stopped);
    HoldOrder grant = grantLowKeys(holder, end + 1s);
    holder.noteGrant(grant.number, GrantOutcome::Accepted, end + 1010ms);
    CHECK_FALSE(holder.holdsNothing(end + 1020ms)); // its own grants count as before
}

// Guards against two owners: when a renewal and a release are in progress together, the upstream
// may process the release first and hold the keys again while the next owner already does.
TEST_CASE("a release that was sent during a grant is no proof", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    holder.noteGrant(grantLowKeys(holder, 1s).number, GrantOutcome::Accepted, 1010ms);
    const std::vector<HoldOrder> renewal = holder.takeOrders(1500ms);
    REQUIRE(renewal.size() == 1);

    holder.assign(makeTable(otherSession, 2), ownSession, 1501ms);
    const std::vector<HoldOrder> first = holder.takeOrders(1501ms);
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].kind == HoldOrderKind::Release);
    holder.noteGrant(renewal[0].number, GrantOutcome::Accepted, 1502ms);
    holder.noteRelease(first[0].number, true, "token", 1700ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 1700ms).stopped);

    const std::vector<HoldOrder> second = holder.takeOrders(1700ms);
    REQUIRE(second.size() == 1);
    holder.noteRelease(second[0].number, true, "", 1710ms);
    const StopAnswer answer = holder.answerStop(lowKeys, 1, 1710ms);
    CHECK(answer.stopped);
    CHECK(answer.handover == "token");
}

// An upstream may carry out an unanswered grant seconds later, but the hold counts from the arrival
// of the grant.
TEST_CASE("a release does not end a grant that was never answered", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    const HoldOrder grant = grantLowKeys(holder, 1s);
    holder.noteGrant(grant.number, GrantOutcome::Unknown, 1800ms);
    holder.assign(makeTable(otherSession, 2), ownSession, 1801ms);
    const std::vector<HoldOrder> release = holder.takeOrders(1801ms);
    REQUIRE(release.size() == 1);
    holder.noteRelease(release[0].number, true, "token", 1810ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 1811ms).stopped);
    CHECK(holder.answerStop(lowKeys, 1, 1800ms + grant.hold * 11 / 10).stopped);
}

TEST_CASE("an unanswered release counts after the last hold has ended", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    const HoldOrder grant = grantLowKeys(holder, 1s);
    holder.noteGrant(grant.number, GrantOutcome::Accepted, 1010ms);
    holder.assign(makeTable(otherSession, 2), ownSession, 1100ms);
    const std::vector<HoldOrder> release = holder.takeOrders(1100ms);
    REQUIRE(release.size() == 1);
    holder.noteRelease(release[0].number, false, "", 2000ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 2001ms).stopped);
    CHECK(holder.answerStop(lowKeys, 1, 1010ms + grant.hold * 103 / 100).stopped);
}

// A killed process may have sent grants of which the next process on its host has no record.
TEST_CASE("a process that just started gives no proof for the grants of an earlier process",
          "[range_holder]")
{
    RangeHolder holder(HolderSettings{}, 10s);
    holder.assign(makeTable(otherSession, 2), ownSession, 10100ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 10100ms).stopped);
    const std::vector<HoldOrder> release = holder.takeOrders(10100ms);
    REQUIRE(release.size() == 1);
    holder.noteRelease(release[0].number, true, "token", 10110ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 10120ms).stopped);
    const Duration maxHold = HolderSettings{}.maxHold;
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 10s + maxHold).stopped);
    CHECK(holder.answerStop(lowKeys, 1, 10s + maxHold * 103 / 100).stopped);
}

TEST_CASE("a range waits for each former owner", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    KeyTable table = makeTable(ownSession, 4);
    const FormerOwner first{.session = 8, .fence = 2};
    const FormerOwner second{.session = 9, .fence = 3};
    table.ranges[0].predecessors = {first, second};
    holder.setLease(10s);
    holder.assign(table, ownSession, 1s);
    CHECK(holder.takeOrders(1s).empty());
    CHECK(holder.missingProofs().size() == 2);
    holder.notePredecessorStopped(first, lowKeys, "");
    CHECK(holder.takeOrders(1s).empty());
    CHECK(holder.unsettledFences() == std::vector<std::uint64_t>{4});
    holder.notePredecessorStopped(second, lowKeys, "token");
    const std::vector<HoldOrder> orders = holder.takeOrders(1s);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].handover == "token");
}

// Guards against a deadlock (soak seed 1): keys left a host with a silent upstream and returned
// before the owner in between held them. The host waited for its own proof about its first grant
// and did not give it, because it owned the keys again; the keys were never served again.
TEST_CASE("a host gives proof for its former grant of keys that it owns again", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    holder.noteGrant(grantLowKeys(holder, 1s).number, GrantOutcome::Accepted, 1010ms);
    holder.assign(makeTable(otherSession, 2), ownSession, 1100ms);
    const std::vector<HoldOrder> release = holder.takeOrders(1100ms);
    REQUIRE(release.size() == 1);

    KeyTable back = makeTable(ownSession, 3);
    back.ranges[0].predecessors = {{.session = ownSession, .fence = 1},
                                   {.session = otherSession, .fence = 2}};
    holder.assign(back, ownSession, 1200ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 1200ms).stopped);
    holder.noteRelease(release[0].number, true, "token", 1210ms);
    CHECK(holder.answerStop(lowKeys, 1, 1210ms).stopped);
    CHECK_FALSE(holder.answerStop(lowKeys, 3, 1210ms).stopped);
}

TEST_CASE("the rest of a split range is renewed under its old fence", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    holder.noteGrant(grantLowKeys(holder, 1s).number, GrantOutcome::Accepted, 1010ms);
    KeyTable table = makeTable(ownSession, 1);
    table.splitBefore(500);
    table.ranges[0].owner = otherSession;
    table.ranges[0].fence = 2;
    table.end = 2;
    holder.assign(table, ownSession, 1100ms);
    CHECK(holder.access(499, 1100ms) == KeyAccess::Elsewhere);
    CHECK(holder.access(500, 1100ms) == KeyAccess::Held);
    const std::vector<HoldOrder> orders = holder.takeOrders(1100ms);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == HoldOrderKind::Release);
    CHECK(orders[0].span == KeySpan{.first = 0, .last = 499});
}

TEST_CASE("keys whose grant was refused due to a higher fence are not served", "[range_holder]")
{
    RangeHolder holder = makeHolder();
    holder.noteGrant(grantLowKeys(holder, 1s).number, GrantOutcome::Accepted, 1010ms);
    const std::vector<HoldOrder> renewal = holder.takeOrders(1500ms);
    REQUIRE(renewal.size() == 1);
    holder.noteGrant(renewal[0].number, GrantOutcome::FencedOff, 1510ms);
    CHECK(holder.access(7, 1511ms) == KeyAccess::Pending);
}

// Guards against two owners (soak seed 2007): an upstream crashed, and its next instance at the
// same address accepted renewals that were sent to the former instance. The host reported that the
// former instance had ended, so the keys went to a second upstream while the next instance held
// them.
TEST_CASE("grants that a later instance of the upstream may have accepted count as held",
          "[range_holder]")
{
    RangeHolder holder = makeHolder();
    const HoldOrder grant = grantLowKeys(holder, 1s);
    Time ended{};
    SECTION("answered before its first heartbeat")
    {
        holder.noteGrant(grant.number, GrantOutcome::Accepted, 1010ms);
        ended = 1020ms;
        holder.noteUpstreamEnded(ended);
    }
    SECTION("answered after its first heartbeat")
    {
        ended = 1005ms;
        holder.noteUpstreamEnded(ended);
        CHECK_FALSE(holder.answerStop(lowKeys, 1, ended).stopped);
        holder.noteGrant(grant.number, GrantOutcome::Accepted, 1010ms);
    }
    holder.assign(makeTable(ownSession, 1), 0, ended);
    const Time now = ended + 10ms;
    CHECK_FALSE(holder.answerStop(lowKeys, 1, now).stopped);
    CHECK_FALSE(holder.holdsNothing(now));
    const std::vector<HoldOrder> orders = holder.takeOrders(now);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == HoldOrderKind::Release);
    CHECK(orders[0].span == lowKeys);
    holder.noteRelease(orders[0].number, true, "", now + 5ms);
    CHECK(holder.answerStop(lowKeys, 1, now + 5ms).stopped);
    CHECK(holder.holdsNothing(now + 5ms));
}

// Guards against aborted requests: an upstream ends a request with status 500 if the request
// outlasts the grant that was in force when it began, even if the grant is renewed meanwhile. After
// a power failure, with cold keys, half of the running requests ended this way, and added routes
// were hardly served (incident CONFIG, second report).
TEST_CASE("work on a cold key does not outlast the grant under which it begins", "[range_holder]")
{
    // The users' longest mean request time, 260 ms, on their slowest upstream (speed 0.7) with cold
    // keys (3.9 times as long).
    constexpr Duration coldRequestTime = 1450ms;
    constexpr Duration voteRoundTrip = 65ms; // to a voter in another region and back
    const LeaseSettings leaseSettings;
    QuorumLease lease(leaseSettings);
    lease.setVoters({"b", "c", "d"});
    RangeHolder holder({.maxHold = leaseSettings.length, .renewEvery = leaseSettings.renewEvery},
                       -1h);
    holder.assign(makeTable(ownSession, 1), ownSession, 0s);
    Duration minRemaining = 1h;
    Time requestedAt = -1h;
    for (Time now = 0s; now < 10s; now += 5ms) {
        if (now % 50ms == 0s && now - requestedAt >= leaseSettings.renewEvery) {
            requestedAt = now;
        }
        if (now == requestedAt + voteRoundTrip) {
            lease.noteVote("b", requestedAt);
            lease.noteVote("c", requestedAt);
            holder.setLease(lease.validUntil());
        }
        for (const HoldOrder &order : holder.takeOrders(now)) {
            holder.noteGrant(order.number, GrantOutcome::Accepted, now);
        }
        if (now >= 1s) {
            minRemaining = std::min(minRemaining, holder.remainingHold(lowKeys.first, now));
        }
    }
    CHECK(toMilliseconds(minRemaining) >= toMilliseconds(coldRequestTime));
}

} // namespace kumquat
