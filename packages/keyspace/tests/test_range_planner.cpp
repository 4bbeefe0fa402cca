// Tests of planKeyTable.
#include "keyspace/range_planner.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace kumquat {
namespace {

// A service with four hosts in two data centres of one region, and the state that the planner
// needs.
struct Cluster
{
    Cluster()
        : load(3s)
    {
        for (const char *name : {"a", "b", "c", "d"}) {
            this->hosts.push_back({.node = name,
                                   .dataCentre = name[0] < 'c' ? "east" : "west",
                                   .region = "north",
                                   .service = "testlog",
                                   .instance = {.id = std::string("i-") + name, .startedMs = 1000},
                                   .slots = 9,
                                   .phase = UpstreamPhase::Ready});
        }
    }

    PlanInput input() const
    {
        return {.table = &this->table,
                .newEnd = this->table.end + 1,
                .node = "a",
                .hosts = this->hosts,
                .reports = this->reports,
                .load = &this->load,
                .mayBalance = true,
                .planningFor = 1h,
                .now = this->now};
    }

    // Runs the planner until the table no longer changes; each host reports after each plan.
    void settle()
    {
        for (int round = 0; round < 20; ++round) {
            std::optional<KeyTable> next = planKeyTable(this->input(), this->settings);
            if (!next) {
                return;
            }
            REQUIRE(next->isValid());
            this->table = *std::move(next);
            this->reportAll();
        }
    }

    void reportAll()
    {
        for (const KeySession &session : this->table.sessions) {
            this->reports[session.id].tablesEnd = this->table.end;
            this->reports[session.id].votersEnd = this->table.end;
        }
    }

    HostInfo &host(const std::string &node)
    {
        return *std::find_if(this->hosts.begin(), this->hosts.end(),
                             [&](const HostInfo &info) { return info.node == node; });
    }

    std::uint32_t keysOf(const std::string &node) const
    {
        std::uint32_t count = 0;
        for (const KeyRange &range : this->table.ranges) {
            const KeySession *owner = this->table.session(range.owner);
            count += owner != nullptr && owner->node == node ? range.span.size() : 0;
        }
        return count;
    }

    KeyTable table = KeyTable::createEmpty("testlog");
    KeyLoad load;
    std::vector<HostInfo> hosts;
    std::map<std::uint64_t, SessionReport> reports;
    PlannerSettings settings;
    Time now = 100s;
};

} // namespace

TEST_CASE("the first table distributes the keys over all hosts", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    for (const HostInfo &host : cluster.hosts) {
        const double share = cluster.keysOf(host.node) / (lastShardKey + 1.0);
        CHECK(share > 0.2);
        CHECK(share < 0.3);
    }
    CHECK(cluster.table.ranges.size() == 4);
    for (const KeySession &session : cluster.table.sessions) {
        CHECK(session.voters.size() == 3);
        CHECK(std::count(session.voters.begin(), session.voters.end(), session.node) == 0);
    }
}

// Load: four equal upstreams with even load, one of which starts and is cold. It gets keys as if it
// had one slot, and the others once it is warm, over several plans. Guards against a cold upstream
// that owns a full share of the keys and rejects most of their requests.
TEST_CASE("a cold session gets keys by degrees", "[range_planner]")
{
    Cluster cluster;
    cluster.host("d").phase = UpstreamPhase::Absent;
    cluster.settle();
    cluster.host("d").phase = UpstreamPhase::Ready;
    cluster.host("d").usableSlots = 1;
    cluster.settle();
    constexpr double keys = lastShardKey + 1.0;
    REQUIRE(cluster.table.activeSessionOf("d") != nullptr);
    CHECK(cluster.table.activeSessionOf("d")->slots == 9);
    CHECK(cluster.keysOf("d") / keys > 0.01);
    CHECK(cluster.keysOf("d") / keys < 0.06);
    cluster.host("d").usableSlots = 9;
    cluster.settle();
    CHECK(cluster.keysOf("d") / keys > 0.15);
}

// Load: 300 requests per second in all for 17 keys, with 5 ms each, after the data centre of two
// hosts was evacuated. The process on one of them has started again and knows no service time.
// Guards against a session that gets only keys without requests: no request ever showed that it is
// as fast as the others.
TEST_CASE("a session without a known service time gets keys with requests", "[range_planner]")
{
    constexpr ShardKey keyStep = 4'001;
    constexpr std::uint32_t countsPerRound = 18; // per second and key: 300 in all
    Cluster cluster;
    cluster.settle();
    cluster.host("b").isEvacuated = true;
    cluster.host("d").isEvacuated = true;
    while (cluster.keysOf("b") + cluster.keysOf("d") > 0) {
        cluster.settle();
    }
    for (const KeySession &session : cluster.table.sessions) {
        cluster.reports[session.id].serviceSeconds = session.node == "b" ? 0 : 0.005;
    }
    for (const char *node : {"b", "d"}) {
        cluster.host(node).isEvacuated = false;
        cluster.host(node).isReturning = true;
    }
    const auto requestedKeysOf = [&](const std::string &node) {
        int count = 0;
        for (ShardKey key = 0; key <= lastShardKey; key += keyStep) {
            const KeySession *owner = cluster.table.session(cluster.table.find(key)->owner);
            count += owner != nullptr && owner->node == node ? 1 : 0;
        }
        return count;
    };
    for (int round = 0; round < 10; ++round) {
        cluster.now += 1s;
        for (ShardKey key = 0; key <= lastShardKey; key += keyStep) {
            cluster.load.add(key, countsPerRound, cluster.now);
        }
        if (auto next = planKeyTable(cluster.input(), cluster.settings)) {
            cluster.table = *std::move(next);
            cluster.reportAll();
        }
    }
    CHECK(requestedKeysOf("d") > 0);
    CHECK(requestedKeysOf("b") > 0);
}

// Load: the upstreams of two hosts have half of their slots usable. Guards against a figure of a
// former instance and against keys by announced slots.
TEST_CASE("keys are distributed by usable slots", "[range_planner]")
{
    Cluster cluster;
    cluster.host("a").usableSlots = 3;
    cluster.host("b").usableSlots = 3;
    cluster.settle();
    CHECK(cluster.keysOf("c") > 2 * cluster.keysOf("a"));
    CHECK(cluster.keysOf("d") > 2 * cluster.keysOf("b"));
    const KeySession other{.instance = {.id = "i-former", .startedMs = 1}, .slots = 9};
    CHECK(usableSlotsOf(&cluster.host("a"), other) == 9);
}

// A record of an earlier instance may be appended to the store seconds late. If it counted as proof
// that the session's upstream had ended, the planner would free keys that are still held.
TEST_CASE("a record with another instance ends no session", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const KeyTable before = cluster.table;
    cluster.host("b").instance = {.id = "i-earlier", .startedMs = 500};
    cluster.settle();
    REQUIRE(cluster.table.activeSessionOf("b") != nullptr);
    CHECK(cluster.table.activeSessionOf("b")->id == before.activeSessionOf("b")->id);
}

// Guards against a late takeover: an upstream restarted while the store rejected the requests of
// its host, and its keys stayed without an owner for nine seconds.
TEST_CASE("a session that its host abandoned is replaced at once", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const std::uint64_t former = cluster.table.activeSessionOf("b")->id;
    cluster.host("b").instance = {.id = "i-b2", .startedMs = 2000};
    cluster.reports[former].isRetired = true;
    cluster.settle();
    REQUIRE(cluster.table.activeSessionOf("b") != nullptr);
    CHECK(cluster.table.activeSessionOf("b")->instance.id == "i-b2");
    CHECK(cluster.table.session(former) == nullptr);
    for (const KeyRange &range : cluster.table.ranges) {
        CHECK(range.owner != former);
        CHECK(range.predecessors.empty()); // nothing to wait for
    }
}

// Guards against large records: table records of 10,000 bytes each were an eighth of all bytes sent
// between processes.
TEST_CASE("the record of a table for many hosts is short", "[key_table]")
{
    constexpr int hostCount = 70;
    Cluster cluster;
    for (int i = 4; i < hostCount; ++i) {
        HostInfo added = cluster.hosts[static_cast<std::size_t>(i) % 4];
        added.node = "sidecar-east-" + std::to_string(i);
        added.instance.id = "i-" + std::to_string(1'000'000'007L * i);
        cluster.hosts.push_back(added);
    }
    cluster.settle();
    const std::string bytes = cluster.table.encode();
    constexpr std::size_t maxBytesPerHost = 60;
    CHECK(bytes.size() < hostCount * maxBytesPerHost);
    const auto read = KeyTable::decode(bytes, cluster.table.end);
    REQUIRE(read.ok());
    CHECK(read->sessions == cluster.table.sessions);
    CHECK(read->ranges == cluster.table.ranges);
    CHECK_FALSE(KeyTable::decode(bytes.substr(0, bytes.size() / 2), 1).ok());
    CHECK_FALSE(KeyTable::decode("", 1).ok());
}

// Guards against a slow start: the first table was written when 8 of 71 upstreams had started, and
// with three moves per second only 30 of them had keys when the first requests arrived.
TEST_CASE("upstreams that start after the first table have keys after a few plans",
          "[range_planner]")
{
    constexpr int hostCount = 70;
    constexpr int plansBeforeTraffic = 8; // at most one per second
    Cluster cluster;
    cluster.table = *planKeyTable(cluster.input(), cluster.settings);
    cluster.reportAll();
    for (int i = 4; i < hostCount; ++i) {
        HostInfo added = cluster.hosts[static_cast<std::size_t>(i) % 4];
        added.node = "host-" + std::to_string(i);
        added.instance.id = "i-" + added.node;
        cluster.hosts.push_back(added);
    }
    for (int plan = 0; plan < plansBeforeTraffic; ++plan) {
        if (std::optional<KeyTable> next = planKeyTable(cluster.input(), cluster.settings)) {
            REQUIRE(next->isValid());
            cluster.table = *std::move(next);
            cluster.reportAll();
        }
    }
    const double fairShare = (lastShardKey + 1.0) / hostCount;
    for (const HostInfo &host : cluster.hosts) {
        INFO(host.node);
        CHECK(cluster.keysOf(host.node) > fairShare / 2);
        CHECK(cluster.keysOf(host.node) < fairShare * 2);
    }
}

// Guards against needless moves (inc-4355): after a power failure of all hosts, the first host that
// returned got all keys, and most of them moved on to other hosts with the next record.
TEST_CASE("after a loss of most hosts, keys are assigned once the hosts have returned",
          "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    for (const char *name : {"a", "b", "c"}) {
        cluster.reports[cluster.table.activeSessionOf(name)->id].isRetired = true;
        cluster.host(name).instance = {.id = std::string("i-") + name + "2", .startedMs = 2000};
    }
    cluster.host("b").phase = UpstreamPhase::Absent;
    cluster.host("c").phase = UpstreamPhase::Absent;
    PlanInput input = cluster.input();
    input.hostsSteadyFor = 100ms;
    input.mayBalance = false;
    const std::optional<KeyTable> early = planKeyTable(input, cluster.settings);
    REQUIRE(early.has_value());
    for (const KeyRange &range : early->ranges) {
        const KeySession *owner = early->session(range.owner);
        CHECK((owner == nullptr || owner->node == "d" || !owner->isActive()));
    }
    cluster.table = *early;
    cluster.reportAll();
    cluster.host("b").phase = UpstreamPhase::Ready;
    cluster.host("c").phase = UpstreamPhase::Ready;
    cluster.settle();
    for (const HostInfo &host : cluster.hosts) {
        CHECK(cluster.keysOf(host.node) > (lastShardKey + 1) / 5);
    }
}

// A silent session may be ended next; keys assigned to it would then move twice.
TEST_CASE("a silent session is assigned no more keys", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const std::uint64_t silent = cluster.table.activeSessionOf("b")->id;
    const std::uint32_t before = cluster.keysOf("b");
    cluster.reports[silent].silence = 1500ms;
    cluster.reports[cluster.table.activeSessionOf("c")->id].isRetired = true;
    cluster.host("c").phase = UpstreamPhase::Ended;
    cluster.settle();
    CHECK(cluster.keysOf("c") == 0);
    CHECK(cluster.keysOf("b") == before);
}

// Guards against sessions that end right after their admission: a host reports its session only
// after it has read the table that admitted the session. The next plan, 200 ms later, counted this
// time as silence, ended the session and admitted the host again, so keys moved repeatedly all day.
TEST_CASE("a session that its host cannot report yet is not silent", "[range_planner]")
{
    Cluster cluster;
    cluster.table = *planKeyTable(cluster.input(), cluster.settings);
    REQUIRE(cluster.reports.empty());
    const std::optional<KeyTable> next = planKeyTable(cluster.input(), cluster.settings);
    const KeyTable &after = next ? *next : cluster.table;
    for (const KeySession &session : cluster.table.sessions) {
        INFO(session.node);
        REQUIRE(after.session(session.id) != nullptr);
        CHECK(after.session(session.id)->isActive());
    }
}

TEST_CASE("the keys of a silent session move and wait for proof that it stopped", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const std::uint64_t former = cluster.table.activeSessionOf("b")->id;
    cluster.reports[former].silence = 3s;
    cluster.host("b").isReachable = false;
    const std::optional<KeyTable> next = planKeyTable(cluster.input(), cluster.settings);
    REQUIRE(next);
    CHECK(next->session(former)->endedAt == next->end);
    CHECK_FALSE(next->session(former)->stopped);
    for (const KeyRange &range : next->ranges) {
        CHECK(range.owner != former);
        if (range.fence == next->end) {
            REQUIRE(range.predecessors.size() == 1);
            CHECK(range.predecessors[0].session == former);
        }
    }
}

// A host that is cut off from most others must not end their sessions.
TEST_CASE("silence of most sessions ends none of them at first", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    for (const char *name : {"b", "c", "d"}) {
        cluster.reports[cluster.table.activeSessionOf(name)->id].silence = 3s;
    }
    PlanInput input = cluster.input();
    input.planningFor = 3s;
    CHECK_FALSE(planKeyTable(input, cluster.settings).has_value());
    input.planningFor = 10s;
    CHECK(planKeyTable(input, cluster.settings).has_value());
}

TEST_CASE("a leaving session loses all its keys and stays until it holds none", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    cluster.host("c").phase = UpstreamPhase::Draining;
    cluster.settle();
    CHECK(cluster.keysOf("c") == 0);
    REQUIRE(cluster.table.activeSessionOf("c") != nullptr);
    CHECK(cluster.table.activeSessionOf("c")->leaving);
}

// Load pattern: many requests for neighbouring keys that are all owned by one upstream.
TEST_CASE("a cluster of hot keys is split over several owners", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    for (const KeySession &session : cluster.table.sessions) {
        cluster.reports[session.id].serviceSeconds = 0.1;
    }
    for (ShardKey key = 20'000; key < 20'200; ++key) {
        for (int second = 0; second < 20; ++second) {
            cluster.load.add(key, 1, cluster.now - 20s + std::chrono::seconds(second));
        }
    }
    cluster.settle();
    std::vector<std::uint64_t> owners;
    for (ShardKey key = 20'000; key < 20'200; ++key) {
        const std::uint64_t owner = cluster.table.find(key)->owner;
        if (std::find(owners.begin(), owners.end(), owner) == owners.end()) {
            owners.push_back(owner);
        }
    }
    CHECK(owners.size() >= 3);
}

TEST_CASE("a balanced load moves nothing", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    for (ShardKey key = 0; key <= lastShardKey; key += 64) {
        cluster.load.add(key, 1, cluster.now);
    }
    CHECK_FALSE(planKeyTable(cluster.input(), cluster.settings).has_value());
}

// Guards against a service that never serves its keys again: of three hosts one is lost for good,
// each of the others needs its vote, and a set of fewer voters was never chosen.
TEST_CASE("lost voters are left without replacement if no other host can replace them",
          "[range_planner]")
{
    Cluster cluster;
    cluster.hosts.resize(3);
    cluster.settle();
    REQUIRE(cluster.table.activeSessionOf("a")->voters.size() == 2);
    cluster.host("c").isReachable = false;
    cluster.reports[cluster.table.activeSessionOf("c")->id].silence = 3s;
    cluster.settle();
    CHECK(cluster.table.activeSessionOf("a")->voters == std::vector<std::string>{"b"});
    CHECK(cluster.table.activeSessionOf("b")->voters == std::vector<std::string>{"a"});
}

// The same with three voters, of which two are lost.
TEST_CASE("a session keeps its lease after the loss of most of its voters", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    for (const char *name : {"c", "d"}) {
        cluster.host(name).isReachable = false;
        cluster.reports[cluster.table.activeSessionOf(name)->id].silence = 3s;
    }
    cluster.settle();
    CHECK(cluster.table.activeSessionOf("a")->voters == std::vector<std::string>{"b"});
}

// Guards against a takeover that no voter can prove: a host that is only cut off from its voters
// must not go on without them at once.
TEST_CASE("a host that may be cut off keeps its voters at first", "[range_planner]")
{
    Cluster cluster;
    cluster.hosts.resize(3);
    cluster.settle();
    for (const char *name : {"b", "c"}) {
        cluster.host(name).isReachable = false;
        cluster.reports[cluster.table.activeSessionOf(name)->id].silence = 3s;
    }
    PlanInput input = cluster.input();
    input.planningFor = 3s;
    CHECK_FALSE(planKeyTable(input, cluster.settings).has_value());
}

// Guards against a gap in the lease: a voter that is shutting down is known to be lost soon.
TEST_CASE("a voter that is shutting down is left out before it is gone", "[range_planner]")
{
    Cluster cluster;
    cluster.hosts.resize(3);
    cluster.settle();
    cluster.host("c").isStopping = true;
    cluster.settle();
    CHECK(cluster.table.activeSessionOf("a")->voters == std::vector<std::string>{"b"});
    cluster.host("c").isStopping = false;
    cluster.settle();
    CHECK(cluster.table.activeSessionOf("a")->voters.size() == 2);
}

// Guards against two owners: a session that does not know its first voters yet would keep working
// without any vote while these voters prove that it has stopped.
TEST_CASE("a session without voters has its own host as a voter until it has read of others",
          "[range_planner]")
{
    Cluster cluster;
    const std::vector<HostInfo> all = cluster.hosts;
    cluster.hosts.resize(1);
    cluster.settle();
    REQUIRE(cluster.table.activeSessionOf("a")->voters.empty());
    cluster.hosts = all;
    const std::optional<KeyTable> next = planKeyTable(cluster.input(), cluster.settings);
    REQUIRE(next);
    CHECK(next->activeSessionOf("a")->formerVoters == std::vector<std::string>{"a"});
}

// Guards against keys that stay where no request may run, and against a move of all keys at once,
// which slows every request for them.
TEST_CASE("keys leave an evacuated data centre a few at a time and come back the same way",
          "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const std::uint32_t before = cluster.keysOf("a") + cluster.keysOf("b");
    const auto setHosts = [&cluster](bool isEvacuated) {
        for (const char *node : {"a", "b"}) {
            cluster.host(node).isEvacuated = isEvacuated;
            cluster.host(node).isReturning = !isEvacuated;
        }
    };
    // Returns the largest number of keys that left or joined hosts a and b in one plan.
    const auto settleByPlans = [&cluster] {
        std::uint32_t largest = 0;
        for (int round = 0; round < 60; ++round) {
            const std::uint32_t earlier = cluster.keysOf("a") + cluster.keysOf("b");
            std::optional<KeyTable> next = planKeyTable(cluster.input(), cluster.settings);
            if (!next) {
                return largest;
            }
            REQUIRE(next->isValid());
            cluster.table = *std::move(next);
            cluster.reportAll();
            const std::uint32_t later = cluster.keysOf("a") + cluster.keysOf("b");
            largest = std::max(largest, earlier > later ? earlier - later : later - earlier);
        }
        FAIL("the keys go on moving");
        return largest;
    };
    setHosts(true);
    CHECK(settleByPlans() < before / 2);
    CHECK(cluster.keysOf("a") + cluster.keysOf("b") == 0);
    CHECK(cluster.keysOf("c") > before / 2);
    CHECK(cluster.keysOf("d") > before / 2);
    for (const KeyRange &range : cluster.table.ranges) {
        CHECK(range.span.size() > 0);
    }
    CHECK(cluster.table.activeSessionOf("a") != nullptr); // the session itself goes on
    setHosts(false);
    CHECK(settleByPlans() < before / 2);
    CHECK(cluster.keysOf("a") > before / 4);
    CHECK(cluster.keysOf("b") > before / 4);
}

// Guards against keys that change hands without a handover: an owner that may still run requests
// must be asked before the next one starts.
TEST_CASE("keys that leave an evacuated data centre wait for their former owner", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const std::uint64_t owner = cluster.table.activeSessionOf("a")->id;
    cluster.host("a").isEvacuated = true;
    const std::optional<KeyTable> next = planKeyTable(cluster.input(), cluster.settings);
    REQUIRE(next);
    std::size_t moved = 0;
    for (const KeyRange &range : next->ranges) {
        if (range.fence == next->end) {
            ++moved;
            REQUIRE(range.predecessors.size() == 1);
            CHECK(range.predecessors[0].session == owner);
        }
    }
    CHECK(moved > 0);
    CHECK(moved <= cluster.settings.maxMovesPerPlan);
}

// Guards against an evacuation that stops because a few upstreams do not release their keys.
TEST_CASE("handovers that hang slow an evacuation and do not stop it", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    cluster.host("a").isEvacuated = true;
    const std::uint32_t before = cluster.keysOf("a");
    for (int round = 0; round < 3; ++round) {
        std::optional<KeyTable> next = planKeyTable(cluster.input(), cluster.settings);
        REQUIRE(next);
        cluster.table = *std::move(next);
        cluster.reportAll();
        for (const KeyRange &range : cluster.table.ranges) {
            if (!range.predecessors.empty()) {
                cluster.reports[range.owner].unsettled.push_back(range.fence);
            }
        }
    }
    const std::uint32_t left = before - cluster.keysOf("a");
    CHECK(left > before / 2);
    CHECK(left < before);
}

// Guards against keys without an owner: they would lose their state for nothing.
TEST_CASE("keys stay where they are if all data centres are evacuated", "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const KeyTable before = cluster.table;
    for (HostInfo &host : cluster.hosts) {
        host.isEvacuated = true;
    }
    cluster.settle();
    CHECK(cluster.table.ranges == before.ranges);
    for (HostInfo &host : cluster.hosts) {
        host.isEvacuated = false;
    }
    cluster.settle();
    CHECK(cluster.table.ranges == before.ranges);
}

// Load: one key gets more requests than any upstream can serve, and 200 neighbouring keys of
// another session get several times as many as it can serve. Guards against a key that cannot be
// divided and so stops the balancing of all other keys.
TEST_CASE("a key that exceeds its upstream does not stop the balancing of others",
          "[range_planner]")
{
    Cluster cluster;
    cluster.settle();
    const auto rangeOf = [&](const std::string &node) {
        const KeySession *session = cluster.table.activeSessionOf(node);
        return std::find_if(cluster.table.ranges.begin(), cluster.table.ranges.end(),
                            [&](const KeyRange &range) { return range.owner == session->id; })
                ->span;
    };
    const ShardKey hotKey = rangeOf("a").first + 100;
    const ShardKey firstBusy = rangeOf("b").first + 1000;
    cluster.load.add(hotKey, 3000, cluster.now);
    for (ShardKey key = firstBusy; key < firstBusy + 200; ++key) {
        cluster.load.add(key, 5, cluster.now);
    }
    cluster.settle();
    std::map<std::uint64_t, int> busyKeys;
    for (ShardKey key = firstBusy; key < firstBusy + 200; ++key) {
        ++busyKeys[cluster.table.find(key)->owner];
    }
    CHECK(busyKeys[cluster.table.activeSessionOf("b")->id] < 90);
    CHECK(busyKeys[cluster.table.activeSessionOf("c")->id] > 40);
    CHECK(busyKeys[cluster.table.activeSessionOf("d")->id] > 40);
}

} // namespace kumquat
