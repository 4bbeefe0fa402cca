// Tests of RangeHolder with GrantMode::Heartbeat: grants to one upstream in the answers to its
// heartbeats.
#include "keyspace/range_holder.h"

#include <catch2/catch.hpp>

#include <numeric>

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

// Returns a holder whose process has run for an hour, with the low keys under fence 1 and a lease.
RangeHolder makeHolder(Time leaseUntil = 1h)
{
    RangeHolder holder(HolderSettings{}, -1h);
    holder.setLease(leaseUntil);
    holder.assign(makeTable(ownSession, 1), ownSession, 1s);
    return holder;
}

// Returns a report of an upstream that holds the low keys.
HoldReport holding(std::uint64_t fence)
{
    return {.holds = {{.span = lowKeys, .fence = fence}}};
}

} // namespace

TEST_CASE("the grants of an answer count from the sending of the heartbeat", "[hold_reports]")
{
    RangeHolder holder = makeHolder();
    holder.noteReport({}, 1s);
    const auto answer = holder.answerReport(300ms, 1s);
    REQUIRE(answer);
    REQUIRE(answer->rows.size() == 1);
    CHECK(answer->rows[0].span == lowKeys);
    CHECK(answer->rows[0].fence == 1);
    CHECK(holder.access(7, 1s) == KeyAccess::Pending); // the answer has not arrived yet
    CHECK(holder.access(7, 1020ms) == KeyAccess::Held);
    CHECK(holder.access(7, 1s + answer->hold - 301ms) == KeyAccess::Held);
    CHECK(holder.access(7, 1s + answer->hold - 300ms) == KeyAccess::Pending);
}

// Guards against a lost answer: requests would go to an upstream that refuses them, because it does
// not hold the keys.
TEST_CASE("keys that the next heartbeat does not list are not served", "[hold_reports]")
{
    RangeHolder holder = makeHolder();
    holder.noteReport({}, 1s);
    REQUIRE(holder.answerReport(0s, 1s));
    holder.noteReport({}, 1900ms);
    CHECK(holder.access(7, 1901ms) == KeyAccess::Pending);
    REQUIRE(holder.answerReport(0s, 1900ms));
    holder.noteReport(holding(1), 2800ms);
    CHECK(holder.access(7, 2801ms) == KeyAccess::Held);
}

// Guards against a host that has lost its voters and still serves keys while its successor does.
TEST_CASE("no hold of an answer outlasts the lease", "[hold_reports]")
{
    RangeHolder holder = makeHolder(1500ms);
    holder.noteReport({}, 1s);
    const auto answer = holder.answerReport(0s, 1s);
    REQUIRE(answer);
    CHECK(answer->hold * 1.02 <= 500ms);
    holder.noteReport(holding(1), 1400ms);
    CHECK_FALSE(holder.answerReport(0s, 1400ms)); // neither renews nor releases
}

// Guards against overlapping rows: one heartbeat may list a range and both of its halves.
TEST_CASE("overlapping rows of a heartbeat count as one held range", "[hold_reports]")
{
    RangeHolder holder = makeHolder();
    holder.noteReport({}, 1s);
    REQUIRE(holder.answerReport(0s, 1s));
    const HoldReport gap{.holds = {{.span = {.first = 0, .last = 899}, .fence = 1},
                                   {.span = {.first = 300, .last = 900}, .fence = 1}}};
    holder.noteReport(gap, 1500ms);
    CHECK(holder.access(7, 1501ms) == KeyAccess::Pending);
    REQUIRE(holder.answerReport(0s, 1500ms));
    const HoldReport whole{.holds = {{.span = {.first = 500, .last = 999}, .fence = 1},
                                     {.span = {.first = 0, .last = 499}, .fence = 1},
                                     {.span = lowKeys, .fence = 1}}};
    holder.noteReport(whole, 1900ms);
    CHECK(holder.access(7, 1901ms) == KeyAccess::Held);
}

TEST_CASE("keys that moved count as held until a heartbeat no longer lists them", "[hold_reports]")
{
    RangeHolder holder = makeHolder();
    holder.noteReport({}, 1s);
    REQUIRE(holder.answerReport(0s, 1s));
    holder.noteReport(holding(1), 1900ms);
    REQUIRE(holder.answerReport(0s, 1900ms));

    holder.assign(makeTable(otherSession, 2), ownSession, 2s);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 2s).stopped);
    holder.noteReport(holding(1), 2700ms);
    const auto answer = holder.answerReport(0s, 2700ms);
    REQUIRE(answer);
    CHECK(answer->rows.empty());           // all keys are released
    holder.noteReport(holding(1), 2800ms); // requests still run
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 2800ms).stopped);
    holder.noteReport({.released = {{.span = lowKeys, .handover = "token"}}}, 2900ms);
    const StopAnswer stop = holder.answerStop(lowKeys, 1, 2900ms);
    CHECK(stop.stopped);
    CHECK(stop.handover == "token");
}

// A heartbeat that was sent before a grant of an earlier process may reach the next process late.
TEST_CASE("a process that just started accepts no heartbeat as proof", "[hold_reports]")
{
    RangeHolder holder(HolderSettings{}, 10s);
    holder.assign(makeTable(otherSession, 2), ownSession, 10100ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 10100ms).stopped);
    holder.noteReport({}, 10200ms);
    CHECK_FALSE(holder.answerStop(lowKeys, 1, 10200ms).stopped);
    const Duration maxHold = HolderSettings{}.maxHold;
    CHECK(holder.answerStop(lowKeys, 1, 10s + maxHold * 103 / 100).stopped);
}

TEST_CASE("a handover is sent until the upstream has received it", "[hold_reports]")
{
    RangeHolder holder(HolderSettings{}, -1h);
    holder.setLease(1h);
    KeyTable table = makeTable(ownSession, 4);
    const FormerOwner former{.session = otherSession, .fence = 2};
    table.ranges[0].predecessors = {former};
    holder.assign(table, ownSession, 1s);
    holder.noteReport({}, 1s);
    REQUIRE(holder.answerReport(0s, 1s));
    CHECK(holder.answerReport(0s, 1s)->rows.empty()); // the former owner may hold it
    holder.notePredecessorStopped(former, lowKeys, "token");
    for (const Time now : {1900ms, 2800ms}) {
        holder.noteReport({}, now);
        const auto answer = holder.answerReport(0s, now);
        REQUIRE(answer);
        REQUIRE(answer->rows.size() == 1);
        CHECK(answer->rows[0].handover == "token");
    }
    holder.noteReport(holding(4), 3700ms);
    CHECK(holder.answerReport(0s, 3700ms)->rows[0].handover.empty());
}

// The platform limits the size of an answer. Ranges that do not fit must not be granted, because
// the upstream releases each range that the answer leaves out.
TEST_CASE("an answer stays within its size limit and lists held ranges first", "[hold_reports]")
{
    KeyTable table = makeTable(ownSession, 1);
    table.ranges.clear();
    constexpr ShardKey count = 512;
    constexpr ShardKey width = (lastShardKey + 1) / count;
    for (ShardKey i = 0; i < count; ++i) {
        table.ranges.push_back({.span = {.first = i * width, .last = (i + 1) * width - 1},
                                .owner = i % 2 == 0 ? ownSession : otherSession,
                                .fence = i + 1});
    }
    RangeHolder holder(HolderSettings{}, -1h);
    holder.setLease(1h);
    holder.assign(table, ownSession, 1s);
    holder.noteReport({}, 1s);
    const auto answer = holder.answerReport(0s, 1s);
    REQUIRE(answer);
    CHECK(answer->rows.size() > 50);
    CHECK(answer->rows.size() < 100);

    HoldReport report;
    for (const HoldRow &row : answer->rows) {
        report.holds.push_back({.span = row.span, .fence = row.fence});
    }
    holder.noteReport(report, 1900ms);
    const auto next = holder.answerReport(0s, 1900ms);
    REQUIRE(next);
    REQUIRE(next->rows.size() == answer->rows.size());
    for (std::size_t i = 0; i < next->rows.size(); ++i) {
        CHECK(next->rows[i].span == answer->rows[i].span);
    }
    CHECK(holder.access(next->rows[0].span.first, 1950ms) == KeyAccess::Held);
    CHECK(holder.access(510 * width, 1950ms) == KeyAccess::Pending);
}

TEST_CASE("a table keeps its lease length in its record", "[hold_reports]")
{
    const Duration length = leaseLengthOf(GrantMode::Heartbeat, 870ms);
    CHECK(length == defaultLeaseLength + 870ms);
    const KeyTable table = KeyTable::createEmpty("testlog", length);
    const auto decoded = KeyTable::decode(table.encode(), 1);
    REQUIRE(decoded.ok());
    CHECK(decoded->leaseLength == length);
    CHECK(KeyTable::createEmpty("testlog").leaseLength == defaultLeaseLength);
    CHECK_FALSE(KeyTable::decode(KeyTable::createEmpty("testlog", 1h).encode(), 1).ok());
}

// Guards against a voter that uses a shorter lease than the owner and releases its session too
// early.
TEST_CASE("a voter releases an ended session after the lease of its table", "[hold_reports]")
{
    KeyTable table = KeyTable::createEmpty("testlog", 3200ms);
    table.end = 1;
    table.sessions = {{.id = ownSession, .node = "a"}};
    LeaseVoter voter(LeaseSettings{}, -1h);
    voter.noteFreshRead();
    REQUIRE(voter.vote(&table, ownSession, 10s));
    table.sessions[0].endedAt = 2;
    table.end = 2;
    CHECK_FALSE(voter.hasReleased(&table, ownSession, 2, 10s + 3200ms));
    CHECK(voter.hasReleased(&table, ownSession, 2, 10s + 3264ms));
}

} // namespace kumquat
