// Tests of what keeps an acknowledged leave in effect when the store comes back from an older copy:
// the confirmation by another host, and what a process takes over when it starts.
//
// Load: one leave while other hosts are up, slow, silent or gone, and one start after a rollback.
#include "stage/cluster_view.h"
#include "stage/host_survey.h"
#include "stage/key_owner.h"
#include "stage/leave_confirmation.h"
#include "stage/relay_choice.h"
#include "stage/upstream_monitor.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace kumquat {
namespace {

using Nodes = std::vector<std::string>;

const UpstreamInstance leaving{.id = "i-1", .startedMs = 5};
const UpstreamInstance next{.id = "i-2", .startedMs = 9};
const Nodes manyHosts{"b", "c", "d", "e", "f", "g", "h"};

std::string hostRecord(bool isLeaving, std::uint64_t change)
{
    wire::HostRecord record;
    record.set_node("a");
    record.set_incarnation(7);
    record.set_address("127.0.0.1:80");
    record.set_upstream_id(leaving.id);
    record.set_born_ms(leaving.startedMs);
    record.set_phase(isLeaving ? wire::UPSTREAM_DRAINING : wire::UPSTREAM_READY);
    record.set_leaving(isLeaving);
    record.set_change(change);
    return record.SerializeAsString();
}

platform::Heartbeat makeHeartbeat(const UpstreamInstance &instance, std::uint64_t sequence)
{
    platform::Heartbeat beat;
    beat.instance = instance;
    beat.phase = UpstreamPhase::Ready;
    beat.slots = 8;
    beat.sequence = sequence;
    return beat;
}

} // namespace

// Guards against a leave that only the store and one process know when it is acknowledged.
TEST_CASE("a leave waits for the first confirmation of another host", "[leaves]")
{
    LeaveConfirmation confirmation;
    CHECK_FALSE(confirmation.isOver(leaving, 10s));
    CHECK(confirmation.begin(leaving, manyHosts, 10s) == Nodes{"b", "c", "d", "e", "f"});
    CHECK_FALSE(confirmation.isOver(leaving, 10'100ms));
    confirmation.noteResult(leaving, false);
    CHECK_FALSE(confirmation.isOver(leaving, 10'100ms));
    confirmation.noteResult(leaving, true);
    CHECK(confirmation.isOver(leaving, 10'100ms));
    CHECK(confirmation.isConfirmed(leaving));
    CHECK(confirmation.begin(leaving, manyHosts, 11s).empty());
}

// Guards against a leave that is refused, or answered too late, because other hosts are silent.
TEST_CASE("a leave waits for silent hosts for a bounded time and once", "[leaves]")
{
    LeaveConfirmation confirmation;
    CHECK(confirmation.begin(leaving, {"b"}, 10s) == Nodes{"b"});
    CHECK(confirmation.end() == 10'300ms);
    CHECK_FALSE(confirmation.isOver(leaving, 10'299ms));
    CHECK(confirmation.isOver(leaving, 10'300ms));
    CHECK_FALSE(confirmation.isConfirmed(leaving));
    confirmation.noteResult(leaving, false);
    CHECK(confirmation.begin(leaving, {"b"}, 11s) == Nodes{"b"}); // told again
    CHECK(confirmation.isOver(leaving, 11s));
    confirmation.noteResult(leaving, true);
    CHECK(confirmation.isConfirmed(leaving));
}

TEST_CASE("a leave waits for no host if none can be reached", "[leaves]")
{
    LeaveConfirmation confirmation;
    CHECK(confirmation.begin(leaving, {}, 10s).empty());
    CHECK(confirmation.isOver(leaving, 10s));
    CHECK(confirmation.begin(next, {"b", "c"}, 20s).size() == 2);
    confirmation.noteResult(next, false);
    CHECK_FALSE(confirmation.isOver(next, 20s));
    confirmation.noteResult(next, false); // both connections failed
    CHECK(confirmation.isOver(next, 20s));
}

// Guards against a confirmation of an earlier instance's leave that counts for a later one.
TEST_CASE("a confirmation counts only for its instance", "[leaves]")
{
    LeaveConfirmation confirmation;
    confirmation.begin(leaving, {"b"}, 10s);
    confirmation.begin(next, {"b"}, 11s);
    confirmation.noteResult(leaving, true);
    CHECK_FALSE(confirmation.isOver(next, 11s));
    CHECK_FALSE(confirmation.isConfirmed(next));
    CHECK_FALSE(confirmation.isConfirmed(leaving));
}

// Guards against a start that takes the answer of one host for all: only the host that confirmed
// the leave may know it.
TEST_CASE("a process that starts after a rollback waits for several hosts", "[leaves]")
{
    HostSurvey survey(manyHosts, 10s, {.answers = 5});
    CHECK(survey.takeHosts() == Nodes{"b", "c", "d", "e", "f"});
    CHECK(survey.takeHosts().empty());
    for (int answer = 0; answer < 4; ++answer) {
        survey.noteAnswer(10'050ms);
        CHECK_FALSE(survey.isOver(10'060ms));
    }
    CHECK(survey.end() == 10'350ms); // for the last one
    CHECK(survey.isOver(10'350ms));
    survey.noteAnswer(10'070ms);
    CHECK(survey.isOver(10'080ms));
}

// Guards against a start that waits for hosts that are gone, or asks none of the others.
TEST_CASE("hosts that can't be reached are replaced by others", "[leaves]")
{
    HostSurvey survey(manyHosts, 10s, {.answers = 5});
    survey.takeHosts();
    survey.noteFailure();
    survey.noteFailure();
    CHECK_FALSE(survey.isOver(10s));
    CHECK(survey.takeHosts() == Nodes{"g", "h"});
    for (int failure = 0; failure < 5; ++failure) {
        survey.noteFailure();
    }
    CHECK(survey.takeHosts().empty());
    CHECK(survey.isOver(10s));
    CHECK(HostSurvey({}, 10s).isOver(10s));
    HostSurvey silent({"b"}, 10s);
    silent.takeHosts();
    CHECK_FALSE(silent.isOver(11'499ms));
    CHECK(silent.isOver(11'500ms));
}

// Guards against a leave that is told to hosts which a starting process does not ask.
TEST_CASE("all hosts agree on the order in which hosts are told and asked", "[leaves]")
{
    Nodes reversed(manyHosts.rbegin(), manyHosts.rend());
    const Nodes ordered = RelayChoice::ordered(manyHosts);
    CHECK(RelayChoice::ordered(reversed) == ordered);
    const Nodes relays = RelayChoice().preferred(manyHosts);
    CHECK(std::equal(relays.begin(), relays.end(), ordered.begin()));
}

// The whole course without a network: the leave is written as the last record of the store, one of
// two hosts is told of it, and the store comes back without it. Guards against a host that does not
// pass on what it was told, and against a process that takes the store's older record for the
// newest one.
TEST_CASE("a leave that one host was told of outlasts a rollback", "[leaves]")
{
    ClusterView told({});
    told.applyHost("a", 49, hostRecord(false, 4));
    told.applyHost("a", 50, hostRecord(true, 5));
    told.noteEra(1, 20s);
    told.applyHost("a", 49, hostRecord(false, 4)); // read again after the rollback

    ClusterView started({});
    started.noteEra(1, 21s);
    started.applyHost("a", 49, hostRecord(false, 4));
    started.noteHostsEnd(storePosition(1, 50));
    wire::Known everything;
    const wire::StateReply state = told.stateSince(everything);
    for (const wire::StateItem &item : state.hosts()) {
        started.applyHost(item.key(), item.offset(), item.value());
    }
    const KnownHost *own = started.host("a");
    REQUIRE(own != nullptr);
    CHECK(own->isLeaving);

    UpstreamMonitor monitor({.awaitsRecord = true});
    monitor.restore(
            {.instance = own->info.instance, .phase = own->info.phase, .isLeaving = own->isLeaving},
            21s);
    monitor.applyHeartbeat(makeHeartbeat(leaving, 3), 22s); // a late one
    CHECK_FALSE(monitor.mayServe(22s));
    monitor.noteRefused(22'500ms); // the instance has ended
    monitor.applyHeartbeat(makeHeartbeat(next, 1), 23s);
    CHECK(monitor.mayServe(23s));
}

// Guards against an upstream that is used although the record of its leave arrives from another
// host a moment after the start.
TEST_CASE("a leave that is found after the start counts at once", "[leaves]")
{
    UpstreamMonitor monitor({.drainPeriod = 10s, .awaitsRecord = true});
    CHECK_FALSE(monitor.noteRecordedLeave(leaving, 19s)); // restore() takes the record
    monitor.restore({}, 20s);
    monitor.applyHeartbeat(makeHeartbeat(leaving, 3), 21s);
    REQUIRE(monitor.mayServe(21s));
    CHECK_FALSE(monitor.noteRecordedLeave(next, 22s));
    CHECK(monitor.mayServe(22s));
    CHECK(monitor.noteRecordedLeave(leaving, 22s));
    CHECK_FALSE(monitor.noteRecordedLeave(leaving, 22s));
    CHECK_FALSE(monitor.mayServe(22s));
    monitor.applyHeartbeat(makeHeartbeat(leaving, 4), 23s);
    CHECK_FALSE(monitor.mayServe(23s));
    monitor.noteRefused(23'500ms); // the instance has ended
    monitor.applyHeartbeat(makeHeartbeat(next, 1), 24s);
    CHECK(monitor.mayServe(24s));
}

} // namespace kumquat
