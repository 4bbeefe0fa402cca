// Tests of the components of Stage that need no network.
#include "stage/relay_choice.h"
#include "stage/settings.h"
#include "stage/shutdown_schedule.h"
#include "stage/upstream_limits.h"
#include "stage/upstream_monitor.h"
#include "stage/writer_choice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace kumquat {

// Guards against requests that are cut off without an answer at a stop: callers with an open
// connection kept sending until the process exited 5.4 s after SIGTERM.
TEST_CASE("a stopping process accepts no request that it cannot answer", "[shutdown_schedule]")
{
    const ShutdownSchedule schedule({.limit = 6s}, 10s);
    CHECK(schedule.acceptsRequest(15300ms, 14300ms));
    CHECK_FALSE(schedule.acceptsRequest(15500ms, 14500ms));
    CHECK_FALSE(schedule.mayExit(14500ms, 1));
    CHECK(schedule.mayExit(14500ms, 0));
    CHECK_FALSE(schedule.mayExit(15500ms, 1)); // its answer is being sent
    CHECK(schedule.mayExit(15800ms, 1));
}

// Guards against requests that arrive late during a planned stop, are accepted and then cut off
// without an answer.
TEST_CASE("a process with a short stop period accepts no request that outlasts it",
          "[shutdown_schedule]")
{
    const ShutdownSchedule schedule({.limit = 2s}, 10s);
    CHECK(schedule.acceptsRequest(12500ms, 10500ms)); // most work is over long before its deadline
    CHECK_FALSE(schedule.acceptsRequest(12500ms, 11100ms));
    CHECK(schedule.acceptsRequest(11300ms, 11100ms));
    CHECK_FALSE(schedule.mustAbort(11300ms));
    CHECK(schedule.mustAbort(11400ms));
    CHECK_FALSE(schedule.mayExit(11400ms, 1));
    CHECK(schedule.mayExit(11400ms, 0));
}

// Guards against slots that stay empty under high load: all upstreams of a service shed two in five
// of their requests for 8 s. This halved the limit of each, so half of their slots stayed empty.
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

// Requests of one route that arrive at a steady rate.
struct RouteLoad
{
    std::uint32_t rank = 0;
    int perSecond = 0;
    Duration timeout{};
    Duration minWork{};
    Duration maxWork{};
    int sent = 0;
    int served = 0;
};

// Simulates 20 s of load on one upstream with 8 slots, without retries.
void simulateLoad(std::vector<RouteLoad> &routes)
{
    constexpr std::uint32_t slots = 8;
    constexpr Duration objective = 800ms;
    struct Call
    {
        RouteLoad *route = nullptr;
        Time deadline{};
        std::optional<Time> end; // of the work; set when it starts
    };
    EndpointLimiter limiter(slots, slots, false, 0s, upstreamLimiter);
    std::map<RequestNumber, Call> calls;
    RequestNumber last = 0;
    const auto start = [&calls](RequestNumber number, Time now) {
        const RouteLoad &route = *calls[number].route;
        constexpr int steps = 5;
        const Duration step = (route.maxWork - route.minWork) / (steps - 1);
        calls[number].end = now + route.minWork + step * static_cast<int>(number * 7 % steps);
    };
    for (Time now = 0s; now < 20s; now += 5ms) {
        for (auto entry = calls.begin(); entry != calls.end();) {
            const auto &[number, call] = *entry;
            if (!call.end || now < std::min(*call.end, call.deadline)) {
                ++entry;
                continue;
            }
            const bool isServed = *call.end <= call.deadline;
            call.route->served += isServed ? 1 : 0;
            limiter.finish(number, isServed ? CallEnd::Answered : CallEnd::TimedOut, now);
            entry = calls.erase(entry);
        }
        for (RouteLoad &route : routes) {
            if (now % (Duration(1s) / route.perSecond) >= 5ms) {
                continue;
            }
            const RequestNumber number = ++last;
            ++route.sent;
            calls[number] = {.route = &route, .deadline = now + route.timeout};
            const Admission admission =
                    limiter.admit(number, now + route.timeout, now,
                                  {.rank = route.rank,
                                   .objective = now + objective,
                                   .kind = static_cast<std::uint64_t>(&route - routes.data()) + 1});
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
}

// Four times as many requests as the upstream can run, because requests on cold keys take long.
const RouteLoad coldWrites{
        .rank = 1, .perSecond = 14, .timeout = 2200ms, .minWork = 500ms, .maxWork = 1700ms};
const RouteLoad coldReads{
        .rank = 2, .perSecond = 24, .timeout = 2200ms, .minWork = 500ms, .maxWork = 1700ms};

// Guards against a queue that admits no request: after a power loss, requests on cold keys take
// nearly as long as most callers wait, so no request was queued. A free slot went to the next
// request that arrived, and the few requests with the best rank were refused like all others.
TEST_CASE("requests with the best rank are served while cold keys make all others wait",
          "[upstream_limits]")
{
    std::vector<RouteLoad> routes{
            {.rank = 0, .perSecond = 2, .timeout = 2200ms, .minWork = 500ms, .maxWork = 1700ms},
            coldWrites,
            coldReads};
    simulateLoad(routes);
    CHECK(routes[0].served * 10 >= routes[0].sent * 8);
    // The slots are not wasted on requests that time out.
    CHECK(routes[0].served + routes[1].served + routes[2].served >= 20 * 7);
}

// Guards against a common estimate of the work time for all routes: the work of each route was
// expected to take as long as that of the busiest one. A route with a timeout below this estimate
// was refused although its own work is short. After a power loss nearly none of its requests were
// served.
TEST_CASE("a route of short requests is served while the work of others is longer than its timeout",
          "[upstream_limits]")
{
    std::vector<RouteLoad> routes{
            {.rank = 0, .perSecond = 2, .timeout = 950ms, .minWork = 5ms, .maxWork = 25ms},
            coldWrites,
            coldReads};
    simulateLoad(routes);
    CHECK(routes[0].served * 10 >= routes[0].sent * 8);
}

// A request that runs at the upstream fails if the short calls that it makes are refused.
TEST_CASE("a stopping process accepts short requests until its end", "[shutdown_schedule]")
{
    const ShutdownSchedule schedule({.limit = 6s}, 10s);
    CHECK(schedule.acceptsRequest(15250ms, 15s));
}

TEST_CASE("requests with long timeouts are accepted until the platform has noticed the stop",
          "[shutdown_schedule]")
{
    const ShutdownSchedule schedule({.limit = 6s}, 10s);
    CHECK(schedule.acceptsRequest(17400ms, 12400ms));
    CHECK_FALSE(schedule.acceptsRequest(17500ms, 12500ms));
    CHECK_FALSE(schedule.mayExit(12400ms, 0));
}

platform::Heartbeat makeHeartbeat(UpstreamPhase phase, std::uint64_t sequence)
{
    return {.instance = {.id = "i-1", .startedMs = 1}, .phase = phase, .sequence = sequence};
}

// Guards against a drain period that starts again with the process (found by the soak test with
// seed 5005): a process acknowledged the drain of its upstream, was killed and restarted, and sent
// the upstream a request 3,136 ms after the acknowledgement.
TEST_CASE("an upstream that already drains in its first heartbeat gets no request",
          "[upstream_monitor]")
{
    UpstreamMonitor monitor({.drainPeriod = 2500ms});
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Draining, 7), 10s)
          == HeartbeatEffect::Changed);
    CHECK(monitor.phase() == UpstreamPhase::Draining);
    CHECK_FALSE(monitor.mayServe(10s));
    CHECK_FALSE(monitor.mayServe(11s));
}

// Guards against an upstream that is used again after it has left: after a restart of the process a
// heartbeat arrives that was sent before the leave.
TEST_CASE("a late heartbeat does not bring back an upstream that left before a restart",
          "[upstream_monitor]")
{
    UpstreamMonitor monitor({.drainPeriod = 2500ms, .awaitsRecord = true});
    monitor.restore({.instance = {.id = "i-1", .startedMs = 1},
                     .phase = UpstreamPhase::Ended,
                     .isLeaving = true},
                    10s);
    monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 3), 11s);
    CHECK(monitor.phase() == UpstreamPhase::Draining);
    CHECK_FALSE(monitor.mayServe(11s));
}

// Guards against a process that uses one slot of an upstream after a restart, because it never
// learns the number of slots: the record of the host does not hold it.
TEST_CASE("the first heartbeat after a restart is a change", "[upstream_monitor]")
{
    UpstreamMonitor monitor({.awaitsRecord = true});
    monitor.restore({.instance = {.id = "i-1", .startedMs = 1}, .phase = UpstreamPhase::Ready},
                    10s);
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 3), 11s)
          == HeartbeatEffect::Changed);
}

// Guards against a late heartbeat of an earlier instance that is taken for the current one.
TEST_CASE("a late heartbeat of an earlier instance is ignored after a restart",
          "[upstream_monitor]")
{
    UpstreamMonitor monitor({.awaitsRecord = true});
    monitor.restore({.instance = {.id = "i-2", .startedMs = 2},
                     .phase = UpstreamPhase::Ready,
                     .history = InstanceHistory({{.id = "i-1", .startedMs = 1}})},
                    10s);
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 3), 11s)
          == HeartbeatEffect::Ignored);
    CHECK_FALSE(monitor.isKnown());
}

// Guards against the same for an instance of the same id that no record names, while the present
// one leaves: its requests would run.
TEST_CASE("an unknown instance does not take the place of a leaving one of its id",
          "[upstream_monitor]")
{
    UpstreamMonitor monitor({.awaitsRecord = true});
    monitor.restore({.instance = {.id = "i-1", .startedMs = 2},
                     .phase = UpstreamPhase::Draining,
                     .isLeaving = true},
                    10s);
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 3), 11s)
          == HeartbeatEffect::Ignored);
    CHECK(monitor.isLeaving());
    CHECK_FALSE(monitor.mayServe(11s));
}

TEST_CASE("an upstream is not used before the record of its host is read", "[upstream_monitor]")
{
    UpstreamMonitor monitor({.awaitsRecord = true});
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 3), 10s)
          == HeartbeatEffect::Ignored);
    CHECK_FALSE(monitor.mayServe(10s));
    monitor.restore({}, 11s);
    monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 4), 12s);
    CHECK(monitor.mayServe(12s));
}

// Guards against a misspelled grant mode, which would leave a service without keys.
TEST_CASE("settings name a known grant mode or none", "[settings]")
{
    const std::string listen = R"({"callers":"10.0.0.1:1","readiness":"10.0.0.1:2",
        "heartbeats":"10.0.0.1:3","processes":"10.0.0.1:4","metrics":"10.0.0.1:5"})";
    const std::string limits = R"({"drainMs":2500,"stopSeconds":6,"longestHoldMs":10000,
        "retryShare":0.2,"retryWindowSeconds":10,"retrySlack":60})";
    const auto parse = [&](const std::string &members) {
        return parseStageSettings(R"({"node":"a","region":"r","dataCentre":"d","service":"s",
            "upstream":"10.0.0.1:6","store":"10.0.0.2:7","listen":)"
                                          + listen + R"(,"limits":)" + limits + members + "}",
                                  "settings.json");
    };
    REQUIRE(parse("").ok());
    CHECK(parse("")->grantMode == GrantMode::Call);
    const auto heartbeat = parse(R"(,"grants":"heartbeat","heartbeatMs":870)");
    REQUIRE(heartbeat.ok());
    CHECK(heartbeat->grantMode == GrantMode::Heartbeat);
    CHECK(heartbeat->heartbeatInterval == 870ms);
    const auto unknown = parse(R"(,"grants":"letter")");
    REQUIRE_FALSE(unknown.ok());
    const std::string reason(unknown.status().message());
    for (const char *part : {"settings.json", "/grants", "\"call\" or \"heartbeat\""}) {
        INFO(reason);
        CHECK(reason.find(part) != std::string::npos);
    }
}

// Counts the reads of one topic by all hosts when they start at the same time. Each host appends a
// record within a second, and has heard of the relays 400 ms after it has read the record of each
// relay.
std::size_t countStartReads(std::size_t hosts)
{
    const auto nameOf = [](std::size_t host) { return "host-" + std::to_string(host); };
    std::vector<std::string> all;
    for (std::size_t host = 0; host < hosts; ++host) {
        all.push_back(nameOf(host));
    }
    const RelayChoice choice;
    const std::vector<std::string> relays = choice.preferred(all);
    const auto appendedBy = [&](Time now) {
        const double share = std::min(1.0, std::chrono::duration<double>(now).count());
        return static_cast<std::size_t>(static_cast<double>(hosts) * share);
    };
    std::size_t reads = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        std::size_t known = 0;
        for (Time now = 10ms; now < 5s;) {
            if (appendedBy(now) == known) {
                now += 1ms; // the read waits
                continue;
            }
            ++reads;
            known = appendedBy(now);
            const std::vector<std::string> names(all.begin(),
                                                 all.begin() + static_cast<std::ptrdiff_t>(known));
            const bool knowsRelays =
                    std::all_of(relays.begin(), relays.end(), [&](const auto &node) {
                        return std::find(names.begin(), names.end(), node) != names.end();
                    });
            const bool isRelay =
                    std::find(relays.begin(), relays.end(), nameOf(host)) != relays.end();
            if (knowsRelays && !isRelay) {
                break; // the host has heard of the relays before its next read
            }
            now += choice.pauseFor(nameOf(host), names, now);
        }
    }
    return reads;
}

// Guards against too many calls to the store: a large site made 17,000 on a day. Most of them
// followed a start of all hosts, when each host waits for records until it has heard of the relays.
TEST_CASE("hosts that start together read the store a few times each", "[relay_choice]")
{
    for (const std::size_t hosts : {30, 100, 300}) {
        INFO(hosts);
        // At most 2 reads per host (an earlier version needed 6), and the reads of the three relays
        // for all hosts.
        CHECK(countStartReads(hosts) <= 2 * hosts + 30);
    }
}

TEST_CASE("a relay reads new records sooner than a temporary relay", "[relay_choice]")
{
    const RelayChoice choice;
    const std::vector<std::string> nodes{"a", "b", "c", "d", "e", "f"};
    const std::vector<std::string> relays = choice.preferred(nodes);
    for (const std::string &node : nodes) {
        const bool isPreferred = std::find(relays.begin(), relays.end(), node) != relays.end();
        CHECK(choice.pauseFor(node, nodes, 1s) == (isPreferred ? 150ms : 1500ms));
    }
    CHECK(choice.pauseFor("a", {"b"}, 10s) == 150ms); // no other hosts exist
    CHECK(choice.pauseFor("a", {"b"}, 1s) == 1500ms); // other hosts may still be starting
}

// Guards against entries of other writers: one invalid entry among those of the upstreams made
// processes stop following the list.
TEST_CASE("a heartbeat of another service or address is not the upstream's", "[upstream_monitor]")
{
    const Address upstream{.ip = "10.0.0.1", .port = 80};
    const UpstreamMonitor monitor(
            {.service = "testlog", .upstream = upstream, .drainPeriod = 2500ms});
    platform::Heartbeat beat = makeHeartbeat(UpstreamPhase::Ready, 7);
    beat.service = "testlog";
    beat.address = upstream;
    CHECK(monitor.isOwn(beat));
    beat.address.port = 81;
    CHECK_FALSE(monitor.isOwn(beat));
    beat.address = upstream;
    beat.service = "certdesk";
    CHECK_FALSE(monitor.isOwn(beat));
    CHECK(monitor.isOwn({.instance = {.id = "i-1"}, .isDeregistration = true}));
}

// Guards against a wall clock that is set back: an upstream that restarted after that seemed to be
// an earlier instance until its clock had caught up, and got neither requests nor keys.
TEST_CASE("an instance with an earlier start time replaces a silent one", "[upstream_monitor]")
{
    const auto beatOf = [](const std::string &id, std::int64_t startedMs, std::uint64_t sequence) {
        return platform::Heartbeat{.instance = {.id = id, .startedMs = startedMs},
                                   .sequence = sequence};
    };
    UpstreamMonitor monitor({.drainPeriod = 2500ms});
    monitor.applyHeartbeat(beatOf("new", 9000, 1), 10s);
    // Late heartbeats of the former instance do not replace an instance that still sends its own.
    for (std::uint64_t i = 1; i <= 6; ++i) {
        const Time now = 10s + i * 870ms;
        CHECK(monitor.applyHeartbeat(beatOf("old", 4000, i), now) == HeartbeatEffect::Ignored);
        CHECK(monitor.applyHeartbeat(beatOf("new", 9000, 1 + i), now) == HeartbeatEffect::Accepted);
    }
    const Time silentSince = 10s + 6 * 870ms;
    Time acceptedAt{};
    for (std::uint64_t i = 1; i <= 6 && acceptedAt == Time::zero(); ++i) {
        const Time now = silentSince + i * 870ms;
        if (monitor.applyHeartbeat(beatOf("next", 4500, i), now) == HeartbeatEffect::Changed) {
            acceptedAt = now;
        }
    }
    CHECK(acceptedAt >= silentSince + 2500ms);
    CHECK(acceptedAt <= silentSince + 4s);
    CHECK(monitor.instance().id == "next");
    CHECK(monitor.mayServe(acceptedAt));
}

// Guards against a wall clock that was ahead and is set back: a late heartbeat of the former
// instance, which seems to have started later, took the place of the present one for seconds.
TEST_CASE("a late heartbeat of a replaced instance changes nothing", "[upstream_monitor]")
{
    const auto beatOf = [](const std::string &id, std::int64_t startedMs, std::uint64_t sequence) {
        return platform::Heartbeat{.instance = {.id = id, .startedMs = startedMs},
                                   .sequence = sequence};
    };
    const bool hasRestarted = GENERATE(false, true);
    UpstreamMonitor monitor({.drainPeriod = 2500ms, .awaitsRecord = true});
    if (hasRestarted) {
        // The process before this one has seen both.
        monitor.restore({.instance = {.id = "new", .startedMs = 7000},
                         .phase = UpstreamPhase::Ready,
                         .history = InstanceHistory({{.id = "old", .startedMs = 9000}})},
                        10s);
    } else {
        monitor.restore({}, 10s);
        monitor.applyHeartbeat(beatOf("old", 9000, 1), 10s);
        monitor.noteRefused(10'100ms);
        monitor.applyHeartbeat(beatOf("new", 7000, 1), 10'200ms);
        CHECK(monitor.instance().id == "new");
    }
    CHECK(monitor.applyHeartbeat(beatOf("old", 9000, 2), 11s) == HeartbeatEffect::Ignored);
    CHECK(monitor.applyHeartbeat(beatOf("new", 7000, 2), 11'070ms) != HeartbeatEffect::Ignored);
    CHECK(monitor.instance().id == "new");
    CHECK(monitor.mayServe(11'070ms));
}

// Guards against a wait of seconds for an upstream that has restarted after its clock was set back.
TEST_CASE("an instance replaces one that has ended at once", "[upstream_monitor]")
{
    const auto beatOf = [](const std::string &id, std::int64_t startedMs) {
        return platform::Heartbeat{.instance = {.id = id, .startedMs = startedMs}, .sequence = 1};
    };
    UpstreamMonitor monitor({.drainPeriod = 2500ms});
    monitor.applyHeartbeat(beatOf("before", 9000), 10s);
    SECTION("nothing listens on its address")
    {
        monitor.noteRefused(10'400ms);
    }
    SECTION("a connection to it broke")
    {
        monitor.noteConnectionLost();
    }
    SECTION("a call to it was not answered")
    {
        monitor.noteUnanswered();
    }
    CHECK(monitor.applyHeartbeat(beatOf("next", 7000), 10'500ms) == HeartbeatEffect::Changed);
    CHECK(monitor.mayServe(10'500ms));
}

// Guards against an upstream that is used although it leaves, as above.
TEST_CASE("a broken connection does not end an instance that leaves", "[upstream_monitor]")
{
    UpstreamMonitor monitor({.drainPeriod = 2500ms});
    monitor.applyHeartbeat({.instance = {.id = "i", .startedMs = 7000},
                            .phase = UpstreamPhase::Draining,
                            .sequence = 4},
                           10s);
    monitor.noteConnectionLost();
    const platform::Heartbeat late{.instance = {.id = "i", .startedMs = 9000}, .sequence = 9};
    CHECK(monitor.applyHeartbeat(late, 10'500ms) == HeartbeatEffect::Ignored);
    CHECK(monitor.isLeaving());
}

TEST_CASE("an upstream that starts to drain gets requests for a while", "[upstream_monitor]")
{
    UpstreamMonitor monitor({.drainPeriod = 2500ms});
    monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Ready, 7), 10s);
    CHECK(monitor.mayServe(10s));
    CHECK(monitor.applyHeartbeat(makeHeartbeat(UpstreamPhase::Draining, 8), 11s)
          == HeartbeatEffect::Changed);
    CHECK(monitor.mayServe(12s));
    CHECK_FALSE(monitor.mayServe(13100ms));
}

// Guards against a choice that cycles through dead hosts: several machines were permanently down,
// each was suspected for two seconds, and the first one was tried again before the last one was
// suspected. After a power loss no host wrote a key table.
TEST_CASE("hosts that are permanently down do not keep the others from writing the table",
          "[writer_choice]")
{
    const std::vector<std::string> nodes{"a", "b", "c", "d", "e", "f", "g", "h"};
    WriterChoice choice;
    Time now = 1s;
    int ownChoices = 0;
    for (int round = 0; round < 100; ++round) {
        const std::string chosen = choice.choose("testlog", nodes, "h", now);
        ownChoices += chosen == "h" ? 1 : 0;
        if (chosen != "h") {
            now += 900ms; // until the report counts as unanswered
            choice.noteSilent(chosen, now);
        }
        now += 400ms;
    }
    CHECK(choice.choose("testlog", nodes, "h", now) == "h");
    CHECK(ownChoices > 50);
}

TEST_CASE("all hosts choose the same table writer, and another one if it is silent",
          "[writer_choice]")
{
    const std::vector<std::string> nodes{"a", "b", "c"};
    WriterChoice choice;
    const std::string first = choice.choose("testlog", nodes, "a", 1s);
    CHECK(choice.choose("testlog", nodes, "b", 1s) == first);
    const std::string own = first == "a" ? "b" : "a";
    choice.noteSilent(first, 1s);
    CHECK(choice.choose("testlog", nodes, own, 2s) != first);
    choice.noteHeard(first);
    CHECK(choice.choose("testlog", nodes, own, 2s) == first);
}

// Guards against load on the store: each new record wakes every host that waits for records, which
// was the largest cost of a quiet day with 91 hosts.
TEST_CASE("a few relays wait for records, and other hosts once the relays are silent",
          "[relay_choice]")
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
    const std::vector<std::string> first = choice.preferred(nodes);
    REQUIRE(first.size() == 3);
    CHECK(choice.isRelay(first[0], 2s));

    // A host that the store does not answer is no relay.
    choice.noteHeard(first[0], {.hasAddress = true}, 2s);
    CHECK(countRelays(choice, 2s) == 4);
    CHECK(countRelays(choice, 10s) == 91);
}

// Guards against relays that can't be queried: the first table writer knew the address of no other
// host. It heard of three relays, stopped waiting for records itself and could not query the
// relays, so for 26 s it assigned all keys to its own upstream.
TEST_CASE("hosts that can't be queried do not count as relays", "[relay_choice]")
{
    RelayChoice choice;
    for (int i = 0; i < 20; ++i) {
        choice.noteHeard("node-" + std::to_string(i), {.readsStore = true}, 1s);
    }
    CHECK(choice.isRelay("own", 1s));
}

} // namespace kumquat
