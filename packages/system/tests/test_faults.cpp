// Faults of upstreams and of the log service in combination, with the real programs. The ledgers
// of the upstreams are the record of what ran; the bounds are the targets of docs/design.md.
#include "system/tests/scenario.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <set>
#include <thread>

using namespace kumquat;

namespace {

// An upstream that announces itself every 2 s is given up after 10 s of silence, which is at least
// 8 s after it froze. Its unanswered requests must show it before.
constexpr Duration silenceLimit = 8s;

} // namespace

// Guards against P6 that depends on the log: the slots cannot be handed over during an outage, so
// the process itself must refuse new work.
TEST_CASE("an upstream that drains during a log outage receives no new work after 3 s")
{
    Cluster cluster("outage-drain");
    startServing(cluster);
    Host &owner = findBusyOwner(cluster);
    const Host &other = *cluster.hosts().back();
    LoadOptions options = cluster.makeLoad(4500ms);
    options.probesFailedKeys = false; // no other upstream gets the slots during the outage
    BackgroundLoad load(options);
    cluster.controlLog("outage?mode=refuse");
    std::this_thread::sleep_for(500ms);
    const std::set<std::string> owned = findOwnedKeys(cluster.makeLoad(0s), other, owner);
    const Time drainedAt = readBootTime();
    Cluster::controlUpstream(owner, "set?draining=1");
    const std::vector<Attempt> attempts = load.finish();
    const Verdict verdict = judge(attempts, cluster.collectRecords());
    const Verdict last = judge(attempts, cluster.collectRecords(), drainedAt + drainTarget);
    INFO(owner.name << " drained\n"
                    << verdict.toText() << describeFailures(attempts) << owner.process->output());
    REQUIRE(verdict.keepsPromises());
    REQUIRE(verdict.unknown == 0);
    CHECK(countRunsAfter(cluster, owner.upstreamName, drainedAt + drainTarget) == 0);
    CHECK(describeFailures(findFailuresOutside(attempts, owned)).empty());
    // Otherwise the slots moved in spite of the outage, and the case shows nothing.
    CHECK(last.errors.contains("draining"));

    cluster.controlLog("outage?mode=none");
    CHECK(cluster.waitUntilServed(settleLimit));
    options.duration = 500ms;
    const std::vector<Attempt> later = LoadGenerator(options).run();
    INFO(describeFailures(later));
    CHECK(judge(later, cluster.collectRecords()).done == later.size());
    CHECK(countRunsAfter(cluster, owner.upstreamName, drainedAt + drainTarget) == 0);
}

// Guards against an upstream that holds requests of others while it is frozen, and against runs of
// requests that its process has given up when it resumes. The design states no time for it.
TEST_CASE("a frozen upstream runs nothing late, and its keys are served by others")
{
    Cluster cluster("freeze");
    startServing(cluster, {"--service-ms", "20"});
    Host &owner = findBusyOwner(cluster);
    const Host &other = *cluster.hosts().back();
    LoadOptions options = cluster.makeLoad(4s);
    options.threads = 128; // requests to the frozen upstream hold their threads
    BackgroundLoad load(options);
    std::this_thread::sleep_for(500ms);
    const Time frozenAt = readBootTime();
    owner.upstream->signal(SIGSTOP);
    std::set<std::string> affected = findLastRunKeys(cluster, owner);
    affected.merge(findOwnedKeys(options, other, owner));
    std::vector<Attempt> attempts = load.finish(); // ends after its last probe
    owner.upstream->signal(SIGCONT);
    options.duration = 1s;
    const std::vector<Attempt> later = LoadGenerator(options).run();
    attempts.insert(attempts.end(), later.begin(), later.end());
    const Verdict verdict = judge(attempts, cluster.collectRecords(), frozenAt);
    INFO(owner.name << " was frozen\n"
                    << verdict.toText() << describeFailures(attempts) << owner.process->output());
    REQUIRE(verdict.keepsPromises());
    CHECK(verdict.unknown > 0); // otherwise the fault had no effect
    CHECK(verdict.keysNotServedAgain == 0);
    CHECK(verdict.longestGap < silenceLimit);
    CHECK(describeFailures(findFailuresOutside(attempts, affected)).empty());
    CHECK(owner.process->isRunning());
}
