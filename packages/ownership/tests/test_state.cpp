// Sections: helpers, records, checkpoints, full size.
#include "ownership/cluster_state.h"
#include "ownership/slot_groups.h"
#include "wire/log.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>

using namespace kumquat;

namespace {

// ---- helpers ----

ApplyResult apply(ClusterState &state, const wire::LogRecord &record)
{
    return state.apply(state.nextOffset(), record);
}

wire::LogRecord makeJoin(const std::string &node, SessionId supersedes = 0,
                         const std::string &region = "r1")
{
    wire::LogRecord record;
    wire::Join &join = *record.mutable_join();
    join.set_node(node);
    join.set_incarnation(7);
    join.set_supersedes(supersedes);
    join.set_region(region);
    join.set_service("testlog");
    return record;
}

wire::LogRecord makeFence(std::initializer_list<SessionId> sessions)
{
    wire::LogRecord record;
    for (const SessionId session : sessions) {
        record.mutable_fence()->add_sessions(session);
    }
    return record;
}

wire::LogRecord makeMove(const ClusterState &state, SessionId from, SessionId to, Slot slot,
                         bool settled)
{
    wire::LogRecord record;
    wire::Move &move = *record.mutable_move();
    move.set_service("testlog");
    move.set_from_session(from);
    move.set_to_session(to);
    move.set_settled(settled);
    setSlots(move, {{slot, state.findSlot("testlog", slot)->epoch}});
    return record;
}

// Returns a Bind of a key whose hashed slot the session owns.
wire::LogRecord makeBind(const ClusterState &state, SessionId session, std::uint64_t keyHash,
                         Slot dedicated)
{
    wire::LogRecord record;
    wire::Bind &bind = *record.mutable_bind();
    bind.set_service("testlog");
    bind.set_key_hash(keyHash);
    bind.set_dedicated_slot(dedicated);
    bind.set_epoch(state.findSlot("testlog", state.layout().slotOf(keyHash))->epoch);
    bind.set_session(session);
    return record;
}

wire::LogRecord makeUnbind(const ClusterState &state, SessionId session, Slot dedicated)
{
    wire::LogRecord record;
    wire::Unbind &unbind = *record.mutable_unbind();
    unbind.set_service("testlog");
    unbind.set_dedicated_slot(dedicated);
    unbind.set_epoch(state.findSlot("testlog", dedicated)->epoch);
    unbind.set_session(session);
    return record;
}

bool hasInLineage(const ClusterState &state, Slot slot, SessionId session)
{
    const Lineage &lineage = state.findSlot("testlog", slot)->lineage;
    return std::find(lineage.begin(), lineage.end(), session) != lineage.end();
}

wire::LogRecord makeRules(std::uint64_t base)
{
    wire::LogRecord record;
    record.mutable_rules()->set_base_version(base);
    record.mutable_rules()->set_text("# none");
    return record;
}

wire::LogRecord makePadding()
{
    wire::LogRecord record;
    record.mutable_checkpoint()->set_parts(1);
    return record;
}

// Returns a state with sessions 1, 2 and 3 on nodes a, b and c. Session 1 owns all slots.
ClusterState makeState(SlotLayout layout = {8, 2})
{
    ClusterState state(layout);
    apply(state, makePadding());
    for (const char *node : {"a", "b", "c"}) {
        apply(state, makeJoin(node));
    }
    return state;
}

} // namespace

// ---- records ----

// Guards against a repeated append that takes effect twice.
TEST_CASE("every record is rejected when it is applied a second time")
{
    ClusterState state = makeState();
    wire::LogRecord peers;
    peers.mutable_peers()->set_session(1);
    peers.mutable_peers()->set_generation(1);
    peers.mutable_peers()->add_peers("b");
    wire::LogRecord settled;
    settled.mutable_peers_settled()->set_session(1);
    settled.mutable_peers_settled()->set_generation(1);
    wire::LogRecord bind;
    bind.mutable_bind()->set_service("testlog");
    bind.mutable_bind()->set_key_hash(5);
    bind.mutable_bind()->set_dedicated_slot(8);
    bind.mutable_bind()->set_epoch(1);
    bind.mutable_bind()->set_session(1);
    wire::LogRecord unbind;
    unbind.mutable_unbind()->set_service("testlog");
    unbind.mutable_unbind()->set_dedicated_slot(8);
    unbind.mutable_unbind()->set_epoch(state.nextOffset() + 6);
    unbind.mutable_unbind()->set_session(1);
    wire::LogRecord crash;
    crash.mutable_crash_suspect()->add_fingerprints(9);
    crash.mutable_crash_suspect()->set_crash_id(1);
    wire::LogRecord leave;
    leave.mutable_leave()->set_session(3);
    wire::LogRecord released;
    released.mutable_released()->set_session(2);
    const wire::LogRecord records[] = {makeMove(state, 1, 2, 0, true),
                                       peers,
                                       settled,
                                       bind,
                                       unbind,
                                       crash,
                                       makeRules(0),
                                       leave,
                                       makeFence({2}),
                                       released,
                                       makeJoin("b", 2)};
    for (const wire::LogRecord &record : records) {
        INFO(record.ShortDebugString());
        REQUIRE(apply(state, record).accepted);
        REQUIRE_FALSE(apply(state, record).accepted);
    }
}

// Guards against two accepted publications with the same base version, including the base
// version 0 of the first publication.
TEST_CASE("only the first of two publications with the same base version is accepted")
{
    ClusterState state;
    REQUIRE_FALSE(apply(state, makeRules(0)).accepted);
    REQUIRE(apply(state, makeRules(0)).accepted);
    REQUIRE_FALSE(apply(state, makeRules(0)).accepted);
    REQUIRE(state.rules().version == 1);
}

// Guards against slots of a lost session that leave their region or all go to one session.
TEST_CASE("a fence distributes slots over the region, or over all regions if it has no session")
{
    ClusterState state = makeState();
    apply(state, makeJoin("far", 0, "r2"));
    apply(state, makeFence({1}));
    REQUIRE(state.findSession(2)->slots == 5);
    REQUIRE(state.findSession(3)->slots == 5);
    apply(state, makeFence({2, 3}));
    REQUIRE(state.findSession(4)->slots == 10);
    apply(state, makeFence({4}));
    REQUIRE(state.find("testlog", 0)->owner == nullptr);
    apply(state, makeJoin("b", 2));
    REQUIRE(state.find("testlog", 0)->owner->node == "b");
    REQUIRE(state.findSlot("testlog", 0)->predecessors.size() >= 3);
}

// Guards against a Leave that removes predecessors which its sender did not know.
TEST_CASE("predecessors are added by moves and leaves and removed by Released and settled moves")
{
    ClusterState state = makeState({1, 1});
    const auto sessions = [&state] {
        std::vector<SessionId> ids;
        for (const Predecessor &predecessor : state.findSlot("testlog", 0)->predecessors) {
            ids.push_back(predecessor.session);
        }
        return ids;
    };
    apply(state, makeMove(state, 1, 2, 0, false));
    wire::LogRecord leave;
    leave.mutable_leave()->set_session(2);
    leave.mutable_leave()->set_settled(true);
    apply(state, leave);
    const SessionId owner = state.findSlot("testlog", 0)->owner;
    REQUIRE(sessions() == std::vector<SessionId>{1, 2});
    wire::LogRecord released;
    released.mutable_released()->set_session(2);
    apply(state, released);
    REQUIRE(sessions() == std::vector<SessionId>{1});
    REQUIRE(state.findSlot("testlog", 0)->lineage.front() == 2);
    apply(state, makeMove(state, owner, owner == 1 ? 3 : 1, 0, true));
    REQUIRE(sessions() == std::vector<SessionId>{owner});
}

// Guards against a key that is served in both its hashed and its dedicated slot.
TEST_CASE("a bound key maps only to its dedicated slot")
{
    ClusterState state = makeState();
    wire::LogRecord bind;
    bind.mutable_bind()->set_service("testlog");
    bind.mutable_bind()->set_key_hash(13);
    bind.mutable_bind()->set_dedicated_slot(9);
    bind.mutable_bind()->set_epoch(state.findSlot("testlog", 5)->epoch);
    bind.mutable_bind()->set_session(1);
    REQUIRE(apply(state, bind).accepted);
    REQUIRE(state.find("testlog", 13)->slot == 9);
    REQUIRE(state.find("testlog", 5)->slot == 5);
    REQUIRE(state.keysOf("testlog", 9).contains(13));
    REQUIRE_FALSE(state.keysOf("testlog", 5).contains(13));
    REQUIRE(state.keysOf("testlog", 5).contains(5));
    REQUIRE(state.findFreeDedicatedSlot("testlog") == 8);
}

// Guards against a key that has no slot, or two slots, after an Unbind.
TEST_CASE("an unbound key maps only to its hashed slot")
{
    ClusterState state = makeState();
    REQUIRE(apply(state, makeBind(state, 1, 13, 9)).accepted);
    REQUIRE(apply(state, makeUnbind(state, 1, 9)).accepted);
    REQUIRE(state.find("testlog", 13)->slot == 5);
    REQUIRE(state.keysOf("testlog", 5).contains(13));
    REQUIRE_FALSE(state.keysOf("testlog", 9).contains(13));
    REQUIRE(apply(state, makeBind(state, 1, 21, 9)).accepted);
    REQUIRE(state.find("testlog", 21)->slot == 9);
    REQUIRE(state.find("testlog", 13)->slot == 5);
}

// Guards against an Unbind that gives the key to another owner without a handover.
TEST_CASE("only the owner of both slots can unbind a dedicated slot")
{
    ClusterState state = makeState();
    REQUIRE(apply(state, makeBind(state, 1, 13, 9)).accepted);
    REQUIRE(apply(state, makeMove(state, 1, 2, 5, true)).accepted);
    REQUIRE_FALSE(apply(state, makeUnbind(state, 1, 9)).accepted); // session 2 owns the hashed slot
    REQUIRE_FALSE(apply(state, makeUnbind(state, 2, 9)).accepted); // session 1 owns the other one
    REQUIRE_FALSE(apply(state, makeUnbind(state, 1, 5)).accepted); // not a dedicated slot
    REQUIRE(state.find("testlog", 13)->slot == 9);
    wire::LogRecord outdated = makeUnbind(state, 2, 9);
    REQUIRE(apply(state, makeMove(state, 1, 2, 9, true)).accepted);
    REQUIRE_FALSE(apply(state, outdated).accepted); // its epoch is from the earlier owner
    REQUIRE(apply(state, makeUnbind(state, 2, 9)).accepted);
    REQUIRE(state.find("testlog", 13)->owner->id == 2);
}

// Guards against a second run of a request. The owner queries the journals of the sessions in the
// lineage; the sessions that lost the dedicated slot have the request ids of the bound key.
TEST_CASE("an Unbind adds the lineage of the dedicated slot to the hashed slot")
{
    ClusterState state = makeState();
    REQUIRE(apply(state, makeBind(state, 1, 13, 9)).accepted);
    REQUIRE(apply(state, makeMove(state, 1, 2, 9, true)).accepted);
    SECTION("of an owner that was fenced")
    {
        REQUIRE(apply(state, makeFence({2})).accepted);
        const SessionId next = state.findSlot("testlog", 9)->owner;
        if (next != 1) {
            REQUIRE(apply(state, makeMove(state, next, 1, 9, true)).accepted);
        }
    }
    SECTION("of an earlier owner that ended before its handover was known")
    {
        REQUIRE(apply(state, makeMove(state, 2, 1, 9, true)).accepted);
        REQUIRE(apply(state, makeFence({2})).accepted);
    }
    REQUIRE_FALSE(hasInLineage(state, 5, 2));
    REQUIRE(apply(state, makeUnbind(state, 1, 9)).accepted);
    REQUIRE(hasInLineage(state, 5, 2));
}

// ---- checkpoints ----

// Guards against a process that starts from a checkpoint and then decides differently from others.
TEST_CASE("a restored state applies records like the original state")
{
    ClusterState state = makeState();
    apply(state, makeMove(state, 1, 2, 3, true));
    apply(state, makeFence({1}));
    apply(state, makeRules(0));
    auto restored = ClusterState::loadCheckpoint(state.makeCheckpoint(), state.layout());
    REQUIRE(restored.ok());
    for (const wire::LogRecord &record :
         {makeJoin("a", 1), makeFence({2}), makeRules(6), makeFence({3}), makeFence({7})}) {
        REQUIRE(apply(state, record).accepted == apply(*restored, record).accepted);
    }
    const auto left = state.makeCheckpoint();
    const auto right = restored->makeCheckpoint();
    REQUIRE(left.size() == right.size());
    for (std::size_t part = 0; part < left.size(); ++part) {
        REQUIRE(left[part].SerializeAsString() == right[part].SerializeAsString());
    }
}

TEST_CASE("missing, mixed or invalid checkpoint parts are rejected")
{
    ClusterState state = makeState();
    std::vector<wire::Checkpoint> parts = state.makeCheckpoint();
    REQUIRE_FALSE(ClusterState::loadCheckpoint({}, state.layout()).ok());
    parts[0].set_covers(99);
    REQUIRE_FALSE(ClusterState::loadCheckpoint(parts, state.layout()).ok());
    parts[0].set_state("broken");
    REQUIRE_FALSE(ClusterState::loadCheckpoint(parts, state.layout()).ok());
}

// ---- full size ----

// Guards against records that block the control thread and checkpoint parts that exceed the size
// limit of the log. The time limits are ten times the duration on one core of the build host.
TEST_CASE("records, checkpoints and lookups of a service of full size are fast")
{
    ClusterState state;
    apply(state, makePadding());
    for (int node = 0; node < 550; ++node) {
        apply(state, makeJoin("n" + std::to_string(node)));
    }
    const auto timed = [](const std::string &what, const auto &act) {
        const auto from = std::chrono::steady_clock::now();
        act();
        const auto took = std::chrono::steady_clock::now() - from;
        std::cout << what << ": " << took / std::chrono::microseconds(1) << " us\n";
        return took;
    };
    const auto fence = timed("fence of 16,448 slots over 549 sessions",
                             [&state] { apply(state, makeFence({1})); });
    const auto second = timed("fence of 30 slots", [&state] { apply(state, makeFence({2})); });
    std::vector<wire::Checkpoint> parts;
    const auto write = timed("checkpoint", [&] { parts = state.makeCheckpoint(); });
    std::uint64_t found = 0;
    const auto lookups = timed("1,000,000 lookups", [&] {
        for (std::uint64_t key = 0; key < 1'000'000; ++key) {
            found += state.find("testlog", key * 0x9e3779b97f4a7c15)->owner->id;
        }
    });
    std::cout << "checkpoint parts: " << parts.size() << "\n";
    REQUIRE(found > 0);
    for (const wire::Checkpoint &part : parts) {
        REQUIRE(part.ByteSizeLong() <= 65'536);
    }
    REQUIRE(fence < std::chrono::seconds(5));
    REQUIRE(second < std::chrono::seconds(1));
    REQUIRE(write < std::chrono::seconds(1));
    REQUIRE(lookups < std::chrono::seconds(5));
}
