// Tests of the decisions that keep ownership exclusive when the store comes back from a copy that
// is some seconds old: records that were acknowledged are lost, and their offsets are used again.
//
// Load: one rollback of the store under usual traffic, alone and together with lost or frozen
// hosts.
#include "ownership_model.h"

#include <catch2/catch.hpp>

namespace kumquat {
namespace {

KeyTable makeTable(std::uint64_t end)
{
    KeyTable table = KeyTable::createEmpty("testlog");
    table.end = end;
    table.sessions = {{.id = 1,
                       .node = "a",
                       .instance = {.id = "i-a", .startedMs = 1},
                       .voters = {"b", "c", "d"}},
                      {.id = 2,
                       .node = "b",
                       .instance = {.id = "i-b", .startedMs = 1},
                       .voters = {"a", "c", "d"},
                       .formerVoters = {"e"},
                       .endedAt = end}};
    table.ranges[0].owner = 1;
    table.ranges[0].fence = end;
    table.ranges[0].predecessors = {{.session = 2, .fence = 3}};
    return table;
}

enum class Scenario : std::uint8_t {
    Alone,
    LostHost,
    FrozenWriter,
    MissedTable // some hosts miss the lost table in whose place a late one is appended
};

// Runs a rollback in the middle of a scenario. Returns the first violation.
std::string playRollback(unsigned seed, Scenario scenario, Guards guards, GrantMode grantMode,
                         std::uint32_t *lateTables)
{
    OwnershipModel model(seed, guards, grantMode);
    std::string violation = model.run(8s + std::chrono::milliseconds(seed % 16 * 100));
    if (scenario == Scenario::FrozenWriter) {
        model.delayAppend(1s + std::chrono::milliseconds(seed % 8 * 300));
        model.run(400ms);
        model.freeze(0, 3s);
    }
    if (scenario == Scenario::MissedTable) {
        model.delayAppend(1s);
        model.run(220ms);
        model.cut(2, 600ms);
        model.cut(3, 600ms);
        model.run(500ms);
        model.rollBackToDelayedAppend();
        violation = violation.empty() ? model.run(30s) : violation;
        *lateTables += model.lateTables();
        return violation;
    }
    if (scenario == Scenario::LostHost) {
        model.lose(1 + static_cast<int>(seed % (hostCount - 1)));
    }
    model.rollBack(1 + seed % 5);
    violation = violation.empty() ? model.run(30s) : violation;
    *lateTables += model.lateTables();
    return violation;
}

bool isRollbackDetected(Guards guards, Scenario scenario)
{
    std::uint32_t lateTables = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        if (!playRollback(seed, scenario, guards, GrantMode::Call, &lateTables).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against two holders of a key, and fences that shrink, after a rollback of the store alone,
// with a host that is lost in the same seconds, or with a writer that is frozen across it. Hosts
// freeze, restart and are cut off besides.
TEST_CASE("no two upstreams hold a key at once across a rollback of the store",
          "[store_rollback][rollback_model]")
{
    std::uint32_t lateTables = 0;
    for (const Scenario scenario :
         {Scenario::Alone, Scenario::LostHost, Scenario::FrozenWriter, Scenario::MissedTable}) {
        for (unsigned seed = 1; seed <= 60; ++seed) {
            const GrantMode mode = seed % 2 == 0 ? GrantMode::Call : GrantMode::Heartbeat;
            INFO("scenario " << static_cast<int>(scenario) << ", seed " << seed);
            CHECK(playRollback(seed, scenario, {}, mode, &lateTables) == "");
        }
    }
    CHECK(lateTables > 0); // the scenarios contain appends that the store carries out late
}

// Guards against a model in which no key is granted after a rollback, and against a recovery that
// takes longer than users allow.
TEST_CASE("all keys are held again 15 s after a rollback of the store",
          "[store_rollback][rollback_model]")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        OwnershipModel model(seed, {}, GrantMode::Call, Faults::None);
        REQUIRE(model.run(10s) == "");
        model.rollBack(3);
        REQUIRE(model.run(15s).empty());
        INFO("seed " << seed);
        CHECK(model.heldKeysWithin(1s) == lastShardKey + 1);
    }
}

TEST_CASE("the rollback scenarios find a violation for each guard that is switched off",
          "[store_rollback][rollback_model]")
{
    CHECK(isRollbackDetected({.eraFreshness = false}, Scenario::Alone));
    CHECK(isRollbackDetected({.eraWait = false}, Scenario::Alone));
    CHECK(isRollbackDetected({.formerTables = false}, Scenario::MissedTable));
}

// Guards against fences that shrink or are no longer exact in JSON, and against other numbers where
// the store has never gone back.
TEST_CASE("positions grow across eras and equal offsets in era 0", "[store_rollback]")
{
    CHECK(storePosition(0, 17) == 17);
    CHECK(storePosition(1, 0) > storePosition(0, 1ULL << 39U));
    CHECK(storePosition(maxStoreEra, (1ULL << storeEraShift) - 1) < (1ULL << 53U));
    const std::uint64_t position = storePosition(3, 105);
    CHECK(storeEraOf(position) == 3);
    CHECK(storeOffsetOf(position) == 105);
}

// Guards against an era that goes back with a late message, and against a wait that starts anew.
TEST_CASE("an era is counted from when it was first seen and never goes back", "[store_rollback]")
{
    StoreEraTracker tracker;
    CHECK_FALSE(tracker.note(0, 5s));
    CHECK(tracker.note(2, 10s));
    CHECK_FALSE(tracker.note(1, 11s));
    CHECK_FALSE(tracker.note(2, 12s));
    CHECK_FALSE(tracker.note(maxStoreEra + 1, 12s));
    CHECK(tracker.current() == 2);
    CHECK(tracker.since() == 10s);
}

// Guards against an owner that goes on under a table of an older era because it compared, in the
// new era, records that no longer contain that table.
TEST_CASE("a comparison in another era does not keep an owner going", "[store_rollback]")
{
    TableFreshness freshness(10s);
    freshness.note(20s, 0);
    freshness.note(25s, 1);
    freshness.note(24s, 0); // a late answer of the older era
    CHECK(freshness.leaseLimit(0) == 20s + LeaseSettings{}.freshFor);
    CHECK(freshness.leaseLimit(1) == 25s + LeaseSettings{}.freshFor);
    CHECK(freshness.leaseLimit(2) == Time::zero());
    CHECK(freshness.age(26s, 1) == 1s);
}

TEST_CASE("comparisons end with the first sight of a newer era", "[store_rollback]")
{
    TableFreshness freshness(10s);
    freshness.note(20s, 0);
    freshness.noteEra(1);
    freshness.note(21s, 0);
    CHECK(freshness.leaseLimit(0) == 20s + LeaseSettings{}.freshFor);
}

// Guards against a table that a writer appends late, at the offset of a lost table that other hosts
// act on: two hosts would then act on different tables of one era.
TEST_CASE("a table of an older era does not replace one on which a process may act",
          "[store_rollback]")
{
    const KeyTable known = makeTable(105);
    CHECK(replacesTable(&known, 106, 0));
    CHECK_FALSE(replacesTable(&known, 105, 0));
    CHECK_FALSE(replacesTable(&known, 106, 1));
    CHECK(replacesTable(&known, storePosition(1, 90), 1));
    CHECK(replacesTable(nullptr, 106, 1));
    KeyTable former = known;
    former.isFormer = true;
    CHECK(replacesTable(&former, 106, 1));
}

TEST_CASE("no vote is given under a table that was first read in a newer era", "[store_rollback]")
{
    KeyTable table = makeTable(105);
    LeaseVoter voter(LeaseSettings{}, 0s);
    voter.noteFreshRead(0);
    CHECK(voter.vote(&table, 1, 10s));
    table.isFormer = true;
    CHECK_FALSE(voter.vote(&table, 1, 10s));
    table.isFormer = false;
    // The end of a session that the process before this one confirmed may be lost.
    LeaseVoter restarted(LeaseSettings{}, 0s);
    restarted.noteFreshRead(1);
    CHECK_FALSE(restarted.vote(&table, 1, 10s));
}

// Guards against proofs that outlive the record that they are about: the session whose end was lost
// owns keys again and ends again later.
TEST_CASE("a proof that a session has stopped ends when the session is active again",
          "[store_rollback]")
{
    KeyTable ended = makeTable(105);
    ended.session(1)->endedAt = 105;
    StopProof proofs;
    proofs.noteTable(ended, 10s);
    proofs.noteRelease(1, "b");
    proofs.noteRelease(1, "c");
    REQUIRE(proofs.isStopped(ended, 1));
    proofs.prune(makeTable(storePosition(1, 90)));
    KeyTable endedAgain = makeTable(storePosition(1, 91));
    endedAgain.session(1)->endedAt = storePosition(1, 91);
    proofs.noteTable(endedAgain, 40s);
    CHECK_FALSE(proofs.isStopped(endedAgain, 1));
    CHECK_FALSE(proofs.hasExpired(1, 41s));
}

// Guards against a table that assigns keys while owners of an older era still act.
TEST_CASE("the first table of an era waits until all earlier owners have stopped",
          "[store_rollback]")
{
    const KeyTable known = makeTable(105);
    StoreEraTracker tracker;
    CHECK(mayWriteTable(&known, 105, tracker, 10s));
    CHECK(mayWriteTable(nullptr, 0, tracker, 10s));
    tracker.note(1, 20s);
    const std::uint64_t end = storePosition(1, 90);
    CHECK_FALSE(mayWriteTable(&known, 105, tracker, 60s)); // not read in this era yet
    CHECK_FALSE(mayWriteTable(&known, end, tracker, 32'239ms));
    CHECK_FALSE(mayWriteTable(nullptr, end, tracker, 32'239ms));
    CHECK(mayWriteTable(&known, end, tracker, 32'240ms));
    const KeyTable current = makeTable(storePosition(1, 91));
    CHECK(mayWriteTable(&current, storePosition(1, 91), tracker, 21s));
    tracker.note(2, 22s);
    CHECK_FALSE(mayWriteTable(&current, storePosition(2, 90), tracker, 34s));
}

TEST_CASE("the first table of an era has new fences and no predecessors", "[store_rollback]")
{
    const std::uint64_t newEnd = storePosition(1, 91);
    const KeyTable known = makeTable(105);
    CHECK(beginsEra(known, newEnd));
    CHECK_FALSE(beginsEra(known, 106));
    const KeyTable next = beginEra(withoutEarlierGrants(known), newEnd, "c");
    CHECK(next.end == newEnd);
    CHECK(next.writer == "c");
    REQUIRE(next.sessions.size() == 1);
    CHECK(next.sessions[0].id == 1);
    CHECK(next.sessions[0].voters == known.sessions[0].voters);
    REQUIRE(next.ranges.size() == 1);
    CHECK(next.ranges[0].owner == 1);
    CHECK(next.ranges[0].fence == newEnd);
    CHECK(next.ranges[0].predecessors.empty());
}

// Guards against a record that is read under another era than the one it was written for, and
// against another encoding where the store has never gone back.
TEST_CASE("a table names the era for which it was written", "[store_rollback]")
{
    const KeyTable first = makeTable(105);
    CHECK(KeyTable::decode(first.encode(), 107).ok());
    CHECK_FALSE(KeyTable::decode(first.encode(), storePosition(1, 105)).ok());
    const KeyTable second = makeTable(storePosition(1, 105));
    CHECK(KeyTable::decode(second.encode(), storePosition(1, 105)).ok());
    CHECK_FALSE(KeyTable::decode(second.encode(), 105).ok());
}

// Guards against a leave that is forgotten because a record from before it is read later.
TEST_CASE("a record with a leave is newer than one of the same instance without",
          "[store_rollback]")
{
    const UpstreamInstance instance{.id = "i-1", .startedMs = 5};
    const HostForm ready{.instance = instance, .incarnation = 1, .change = 9};
    const HostForm leaving{.instance = instance, .isLeaving = true, .incarnation = 1, .change = 3};
    const HostForm next{.instance = {.id = "i-2", .startedMs = 6},
                        .history = InstanceHistory({instance}),
                        .incarnation = 2,
                        .change = 1};
    CHECK(isNewerForm(leaving, ready));
    CHECK_FALSE(isNewerForm(ready, leaving));
    CHECK(isNewerForm(next, leaving));
    CHECK_FALSE(isNewerForm(leaving, next));
    CHECK(isNewerForm(ready, HostForm{.instance = instance, .incarnation = 1, .change = 8}));
    CHECK_FALSE(isNewerForm(ready, HostForm{.instance = instance, .incarnation = 2, .change = 8}));
}

// Guards against the record of a former instance that wins over that of the present one, because
// the clock of the host was set back between their starts: a leave of the present one was lost.
TEST_CASE("start times do not order the records of a host", "[store_rollback]")
{
    const UpstreamInstance former{.id = "i-1", .startedMs = 9000};
    const UpstreamInstance present{.id = "i-2", .startedMs = 7000};
    const HostForm before{.instance = former};
    const HostForm leaving{
            .instance = present, .history = InstanceHistory({former}), .isLeaving = true};
    CHECK(isNewerForm(leaving, before));
    CHECK_FALSE(isNewerForm(before, leaving));
    // Records that do not know of each other have no order.
    const HostForm other{.instance = present};
    CHECK_FALSE(isNewerForm(other, before));
    CHECK_FALSE(isNewerForm(before, other));
}

TEST_CASE("the history of instances keeps the newest ones", "[store_rollback]")
{
    InstanceHistory history;
    history.noteReplaced({}); // no instance
    CHECK(history.replaced().empty());
    for (std::int64_t i = 0; i <= static_cast<std::int64_t>(InstanceHistory::maxInstances); ++i) {
        history.noteReplaced({.id = "i", .startedMs = i});
    }
    CHECK(history.replaced().size() == InstanceHistory::maxInstances);
    CHECK_FALSE(history.hasReplaced({.id = "i", .startedMs = 0}));
    CHECK(history.hasReplaced({.id = "i", .startedMs = 1}));
    history.noteCurrent({.id = "i", .startedMs = 1});
    CHECK_FALSE(history.hasReplaced({.id = "i", .startedMs = 1}));
}

} // namespace kumquat
