// Parts of the process on the platform that need no network.
#include "stage/acting_host.h"
#include "stage/relay_choice.h"
#include "stage/stop_plan.h"
#include "stage/upstream_limits.h"
#include "stage/upstream_monitor.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace kumquat {

// Found by the first score of the second site: callers whose connection was open kept sending until
// the process exited 5.4 s after SIGTERM, and the last requests were cut off without an answer.
TEST_CASE("a stopping process takes no request that it cannot answer", "[stop_plan]")
{
    const StopPlan plan({.limit = 6s}, 10s);
    CHECK(plan.takesRequest(15300ms, 14300ms));
    CHECK_FALSE(plan.takesRequest(15500ms, 14500ms));
    CHECK_FALSE(plan.mayExit(14500ms, 1));
    CHECK(plan.mayExit(14500ms, 0));
    CHECK(plan.mayExit(15500ms, 1));
}

// Found by the day of high load of the second grown site: all upstreams of a service shed two in
// five of their requests for 8 s, which halved the limit of each, so half of their slots stayed
// empty.
TEST_CASE("an upstream that sheds a share of its requests keeps its slots", "[upstream_limits]")
{
    constexpr std::uint32_t slots = 8;
    EndpointLimiter limiter(slots, slots, false, 0s, upstreamLimiter);
    RequestNumber next = 0;
    for (Time now = 0s; now < 8s; now += 50ms) {
        const RequestNumber first = next + 1;
        while (limiter.admit(++next, now + 1s, now).action == AdmitAction::Dispatch) {
        }
        limiter.cancelWaiting(next, now);
        for (RequestNumber request = first; request < next; ++request) {
            const bool isShed = request % 5 < 2;
            limiter.finish(request, isShed ? CallEnd::Refused : CallEnd::Answered, now + 40ms);
        }
        limiter.takeOutput();
    }
    CHECK(limiter.limit() >= slots - 2);
}

// Found by the second report of the incident CONFIG: after a loss of power requests on cold keys
// take as long as most deadlines. No request was let into the queue then, so a free slot went to
// whoever came next, and the few requests of added routes, which go first, were refused like all
// others.
TEST_CASE("requests that go first are served while cold keys make all others wait",
          "[upstream_limits]")
{
    constexpr std::uint32_t slots = 8;
    constexpr std::uint32_t ranks = 3;
    constexpr Duration patience = 2200ms;
    constexpr std::array<Duration, 5> work{500ms, 700ms, 900ms, 1200ms, 1700ms};
    // Calls a second by rank: a few on added routes, and four times as many as can be run.
    constexpr std::array<int, ranks> arrivals{2, 14, 24};
    EndpointLimiter limiter(slots, slots, false, 0s, upstreamLimiter);
    std::array<int, ranks> sent{};
    std::array<int, ranks> served{};
    std::map<RequestNumber, std::uint32_t> rankOf;
    std::map<RequestNumber, std::pair<Time, Time>> running; // end of the work, deadline
    std::map<RequestNumber, Time> deadlines;
    RequestNumber last = 0;
    const auto start = [&](RequestNumber number, Time now) {
        running[number] = {now + work[number * 7 % work.size()], deadlines[number]};
    };
    for (Time now = 0s; now < 20s; now += 5ms) {
        for (auto call = running.begin(); call != running.end();) {
            const auto [end, deadline] = call->second;
            if (now < std::min(end, deadline)) {
                ++call;
                continue;
            }
            served[rankOf[call->first]] += end <= deadline ? 1 : 0;
            limiter.finish(call->first, end <= deadline ? CallEnd::Answered : CallEnd::TimedOut,
                           now);
            call = running.erase(call);
        }
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            if (now % (Duration(1s) / arrivals[rank]) >= 5ms) {
                continue;
            }
            const RequestNumber number = ++last;
            ++sent[rank];
            rankOf[number] = rank;
            deadlines[number] = now + patience;
            const Admission admission =
                    limiter.admit(number, now + patience, now, rank, now + 800ms);
            if (admission.action == AdmitAction::Dispatch) {
                start(number, now);
            }
        }
        if (now % 50ms == 0s) {
            limiter.advance(now);
        }
        for (const RequestNumber number : limiter.takeOutput().dispatch) {
            start(number, now);
        }
    }
    INFO("served " << served[0] << " of " << sent[0] << ", " << served[1] << " of " << sent[1]
                   << ", " << served[2] << " of " << sent[2]);
    CHECK(served[0] * 10 >= sent[0] * 8);
    // The slots are not spent on requests that end at their deadline.
    CHECK(served[0] + served[1] + served[2] >= 20 * 7);
}

// A request that runs at the upstream fails if the short calls that it makes are turned away.
TEST_CASE("a stopping process takes short requests until its end", "[stop_plan]")
{
    const StopPlan plan({.limit = 6s}, 10s);
    CHECK(plan.takesRequest(15250ms, 15s));
}

TEST_CASE("long timeouts do not turn callers away before the platform has noticed", "[stop_plan]")
{
    const StopPlan plan({.limit = 6s}, 10s);
    CHECK(plan.takesRequest(17400ms, 12400ms));
    CHECK_FALSE(plan.takesRequest(17500ms, 12500ms));
    CHECK_FALSE(plan.mayExit(12400ms, 0));
}

platform::Heartbeat makeHeartbeat(UpstreamPhase phase, std::uint64_t sequence)
{
    return {.life = {.id = "i-1", .bornMs = 1}, .phase = phase, .sequence = sequence};
}

// Found by the soak (seed 5005): a process acknowledged that its upstream leaves, was killed and
// started again, and counted the time for last requests anew: one ran 3,136 ms after the
// acknowledgement.
TEST_CASE("an upstream that leaves when the process first hears of it gets no request",
          "[upstream_monitor]")
{
    UpstreamMonitor monitor({.drain = 2500ms});
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Draining, 7), 10s));
    CHECK(monitor.phase() == UpstreamPhase::Draining);
    CHECK_FALSE(monitor.mayServe(10s));
    CHECK_FALSE(monitor.mayServe(11s));
}

// Reported by other operators: an odd entry of another writer among those of the upstreams made
// processes follow the list no longer.
TEST_CASE("a heartbeat of another service or address is not the upstream's", "[upstream_monitor]")
{
    const Address upstream{.ip = "10.0.0.1", .port = 80};
    const UpstreamMonitor monitor({.service = "testlog", .upstream = upstream, .drain = 2500ms});
    platform::Heartbeat beat = makeHeartbeat(UpstreamPhase::Ready, 7);
    beat.service = "testlog";
    beat.address = upstream;
    CHECK(monitor.isOwn(beat));
    beat.address.port = 81;
    CHECK_FALSE(monitor.isOwn(beat));
    beat.address = upstream;
    beat.service = "certdesk";
    CHECK_FALSE(monitor.isOwn(beat));
    CHECK(monitor.isOwn({.life = {.id = "i-1"}, .isGoodbye = true}));
}

TEST_CASE("an upstream that begins to leave gets requests for a while", "[upstream_monitor]")
{
    UpstreamMonitor monitor({.drain = 2500ms});
    monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 7), 10s);
    CHECK(monitor.mayServe(10s));
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Draining, 8), 11s));
    CHECK(monitor.mayServe(12s));
    CHECK_FALSE(monitor.mayServe(13100ms));
}

// Found by the first score of the first site: several machines had gone for good, each was
// suspected for two seconds, and before the last one was the first one was tried again. After a
// loss of power nobody wrote a key table.
TEST_CASE("hosts that have gone for good do not keep the others from acting", "[acting_host]")
{
    const std::vector<std::string> nodes{"a", "b", "c", "d", "e", "f", "g", "h"};
    ActingHost acting;
    Time now = 1s;
    int ownTurns = 0;
    for (int round = 0; round < 100; ++round) {
        const std::string chosen = acting.choose("testlog", nodes, "h", now);
        ownTurns += chosen == "h" ? 1 : 0;
        if (chosen != "h") {
            now += 900ms; // until the report counts as unanswered
            acting.noteSilent(chosen, now);
        }
        now += 400ms;
    }
    CHECK(acting.choose("testlog", nodes, "h", now) == "h");
    CHECK(ownTurns > 50);
}

TEST_CASE("all hosts choose the same one, and another after its silence", "[acting_host]")
{
    const std::vector<std::string> nodes{"a", "b", "c"};
    ActingHost acting;
    const std::string first = acting.choose("testlog", nodes, "a", 1s);
    CHECK(acting.choose("testlog", nodes, "b", 1s) == first);
    const std::string own = first == "a" ? "b" : "a";
    acting.noteSilent(first, 1s);
    CHECK(acting.choose("testlog", nodes, own, 2s) != first);
    acting.noteHeard(first);
    CHECK(acting.choose("testlog", nodes, own, 2s) == first);
}

// Load pattern: one record in the store wakes every host that waits for it, which was the largest
// price of a calm day with 91 hosts.
TEST_CASE("a few hosts wait for records, and others once these fall silent", "[relay_choice]")
{
    std::vector<std::string> nodes;
    for (int i = 0; i < 91; ++i) {
        nodes.push_back("node-" + std::to_string(i));
    }
    const auto countRelays = [&nodes](const RelayChoice &choice, Time now) {
        return std::count_if(nodes.begin(), nodes.end(),
                             [&](const std::string &node) { return choice.isRelay(node, now); });
    };
    RelayChoice choice;
    CHECK(countRelays(choice, 1s) == 91);
    for (const std::string &node : nodes) {
        choice.noteHeard(node, {.readsStore = true, .hasAddress = true}, 1s);
    }
    CHECK(countRelays(choice, 2s) == 3);
    const std::vector<std::string> first = choice.first(nodes);
    REQUIRE(first.size() == 3);
    CHECK(choice.isRelay(first[0], 2s));

    // One that the store turns away does not count.
    choice.noteHeard(first[0], {.hasAddress = true}, 2s);
    CHECK(countRelays(choice, 2s) == 4);
    CHECK(countRelays(choice, 10s) == 91);
}

// Found by a hunt of the first grown site: the first host that wrote the key table knew no other
// host's address. It heard of three that wait for records, waited no more itself and could not ask
// them, so for 26 s it gave all keys to its own upstream.
TEST_CASE("hosts that can't be asked do not stand for this one", "[relay_choice]")
{
    RelayChoice choice;
    for (int i = 0; i < 20; ++i) {
        choice.noteHeard("node-" + std::to_string(i), {.readsStore = true}, 1s);
    }
    CHECK(choice.isRelay("own", 1s));
}

} // namespace kumquat
