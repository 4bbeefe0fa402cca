// Tests what a process takes over from other hosts when it starts after the store has come back
// from an older copy.
//
// Load: requests without a key through all hosts after one rollback of the store.
#include "base/time.h"
#include "standins/platform_caller.h"
#include "system/platform_cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace kumquat;

namespace {

constexpr int statusOk = 200;
constexpr auto operatorTopic = "keyed.op";
constexpr auto evacuationOfB = "evacuate/b";
constexpr Duration startLimit = 20s;
constexpr Duration loadTime = 4s;      // twice the time after which a restarted process serves
constexpr Duration knownTime = 2500ms; // after a start, until all hosts know each other

// Sends requests without a key.
class Load
{
public:
    explicit Load(PlatformCluster &loadCluster)
        : cluster(loadCluster)
    {}

    // Sends one request to each host. Returns the number of hosts that answered with 200.
    std::size_t sendToAll()
    {
        std::size_t served = 0;
        for (const PlatformHost &host : this->cluster.hosts()) {
            HttpClient client(host.callers);
            const HttpExchange exchange =
                    client.send(makeCallerRequest({.id = "r-" + std::to_string(++this->lastRequest),
                                                   .key = std::nullopt}),
                                2s);
            const bool isAnswered = exchange.result == ExchangeResult::Answered;
            served += isAnswered && exchange.answer.status == statusOk ? 1 : 0;
        }
        return served;
    }

    // Sends requests for `length` and returns the number that were served.
    std::size_t run(Duration length)
    {
        std::size_t served = 0;
        for (const Time end = readBootTime() + length; readBootTime() < end;) {
            served += this->sendToAll();
            std::this_thread::sleep_for(20ms);
        }
        return served;
    }

    // Sends requests until the upstream of each host has run one, then waits until all hosts know
    // each other. Returns false after `startLimit`.
    bool waitUntilAllRun()
    {
        const auto hasIdle = [this] {
            return std::any_of(
                    this->cluster.hosts().begin(), this->cluster.hosts().end(),
                    [](const PlatformHost &host) { return host.endpoint->runs().empty(); });
        };
        const Time end = readBootTime() + startLimit;
        while (hasIdle() && readBootTime() < end) {
            this->sendToAll();
        }
        std::this_thread::sleep_for(knownTime);
        return !hasIdle();
    }

private:
    PlatformCluster &cluster;
    int lastRequest = 0;
};

} // namespace

// Guards against an acknowledged leave that is lost: its process is killed before any other host
// has read the record from the store, and the store comes back from a copy without it.
TEST_CASE("a leave that only the store had before it went back stays in effect", "[platform]")
{
    PlatformCluster cluster({.hasProxies = true, .hasKeys = false});
    Load load(cluster);
    REQUIRE(load.waitUntilAllRun());
    PlatformHost &left = cluster.host(1);
    for (PlatformHost &host : cluster.hosts()) {
        if (&host != &left) {
            host.toStore->set({.fault = LinkFault::Stalled}); // its waiting reads never end
        }
    }
    REQUIRE(left.endpoint->deregister(left.heartbeats));
    left.process->kill();
    cluster.store.rollBack(1);
    for (PlatformHost &host : cluster.hosts()) {
        host.toStore->set({});
    }
    cluster.startProcess(left);
    std::this_thread::sleep_for(1s);
    left.endpoint->sendLateHeartbeat(left.heartbeats);
    const std::size_t before = left.endpoint->runs().size();
    CHECK(load.run(loadTime) > 0);
    for (PlatformHost &host : cluster.hosts()) {
        if (&host != &left) {
            cluster.endUpstream(host); // no other one is left that could run requests
        }
    }
    load.run(loadTime);
    CHECK(left.endpoint->runs().size() == before);
}

// Guards against a leave that is refused, or answered too late for the upstream, because the other
// hosts are silent.
TEST_CASE("a leave is acknowledged although the other hosts are silent", "[platform]")
{
    constexpr Duration answerLimit = 900ms; // an upstream waits for one second
    PlatformCluster cluster({.hosts = 3, .hasKeys = false});
    Load load(cluster);
    REQUIRE(load.waitUntilAllRun());
    cluster.host(0).process->signal(SIGSTOP);
    cluster.host(2).process->signal(SIGSTOP);
    PlatformHost &left = cluster.host(1);
    const Time asked = readBootTime();
    CHECK(left.endpoint->deregister(left.heartbeats));
    CHECK(readBootTime() - asked < answerLimit);
    cluster.host(0).process->signal(SIGCONT);
    cluster.host(2).process->signal(SIGCONT);
}

// Guards against requests in an evacuated data centre: a process there starts after the store has
// come back from a copy without the record of the evacuation, and the operator has not written it
// again yet.
TEST_CASE("an evacuation that the store has lost binds a process that starts", "[platform]")
{
    constexpr Duration takesEffect = 2500ms; // after its record was written
    PlatformCluster cluster({.dataCentres = {"a", "b"}, .hasKeys = false});
    Load load(cluster);
    REQUIRE(load.waitUntilAllRun());
    cluster.store.put(operatorTopic, 0, evacuationOfB, R"({"reason":"test"})");
    std::this_thread::sleep_for(takesEffect);
    PlatformHost &started = cluster.host(1); // in "b"
    started.process->kill();
    cluster.store.rollBack(1, RollBackScope::AllRecords);
    cluster.startProcess(started);
    const std::size_t before = started.endpoint->runs().size();
    CHECK(load.run(loadTime) > 0);
    CHECK(started.endpoint->runs().size() == before);

    cluster.store.put(operatorTopic, 0, evacuationOfB, ""); // the operator ends it
    const Time end = readBootTime() + startLimit;
    while (started.endpoint->runs().size() == before && readBootTime() < end) {
        load.sendToAll();
    }
    CHECK(started.endpoint->runs().size() > before);
}
