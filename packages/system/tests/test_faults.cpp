// Tests combined faults of upstreams and the log service with the real programs. The ledgers of the
// upstreams record which requests ran. The bounds are the targets of docs/design.md.
#include "system/tests/scenario.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <set>
#include <thread>

using namespace kumquat;

namespace {

// An upstream announces itself every 2 s and is considered lost after 10 s without an announcement,
// which is at least 8 s after it froze. Its unanswered requests must reveal the fault earlier.
constexpr Duration silenceLimit = 8s;

} // namespace

// Guards against a drain (target P6 of docs/design.md) that depends on the log: slots cannot be
// handed over during a log outage, so the process itself must refuse new work.
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
    const Verdict verdict = evaluate(attempts, cluster.collectRecords());
    const Verdict last = evaluate(attempts, cluster.collectRecords(), drainedAt + drainTarget);
    INFO(owner.name << " drained\n"
                    << verdict.toText() << describeFailures(attempts) << owner.process->output());
    REQUIRE(verdict.meetsGuarantees());
    REQUIRE(verdict.unknown == 0);
    CHECK(countRunsAfter(cluster, owner.upstreamName, drainedAt + drainTarget) == 0);
    CHECK(describeFailures(findFailuresOutside(attempts, owned)).empty());
    // Without this error the slots moved despite the outage, and the test would prove nothing.
    CHECK(last.errors.contains("draining"));

    cluster.controlLog("outage?mode=none");
    CHECK(cluster.waitUntilServed(settleLimit));
    options.duration = 500ms;
    const std::vector<Attempt> later = LoadGenerator(options).run();
    INFO(describeFailures(later));
    CHECK(evaluate(later, cluster.collectRecords()).done == later.size());
    CHECK(countRunsAfter(cluster, owner.upstreamName, drainedAt + drainTarget) == 0);
}

// Guards against a frozen upstream that blocks requests for keys of other upstreams, and against an
// upstream that, once resumed, runs requests that its process has abandoned. The design states no
// recovery time for this fault.
TEST_CASE("a frozen upstream runs nothing late, and its keys are served by others")
{
    Cluster cluster("freeze");
    startServing(cluster, {"--service-ms", "20"});
    Host &owner = findBusyOwner(cluster);
    const Host &other = *cluster.hosts().back();
    LoadOptions options = cluster.makeLoad(4s);
    options.threads = 128; // requests to the frozen upstream block their threads
    BackgroundLoad load(options);
    std::this_thread::sleep_for(500ms);
    const Time frozenAt = readBootTime();
    owner.upstream->signal(SIGSTOP);
    std::set<std::string> affected = findLastRunKeys(cluster, owner);
    affected.merge(findOwnedKeys(options, other, owner));
    std::vector<Attempt> attempts = load.finish(); // returns after the last probe
    owner.upstream->signal(SIGCONT);
    options.duration = 1s;
    const std::vector<Attempt> later = LoadGenerator(options).run();
    attempts.insert(attempts.end(), later.begin(), later.end());
    const Verdict verdict = evaluate(attempts, cluster.collectRecords(), frozenAt);
    INFO(owner.name << " was frozen\n"
                    << verdict.toText() << describeFailures(attempts) << owner.process->output());
    REQUIRE(verdict.meetsGuarantees());
    CHECK(verdict.unknown > 0); // otherwise the fault had no effect
    CHECK(verdict.unrecoveredKeys == 0);
    CHECK(verdict.longestGap < silenceLimit);
    CHECK(describeFailures(findFailuresOutside(attempts, affected)).empty());
    CHECK(owner.process->isRunning());
}

// Guards against a planned stop through the admin port that loses or interrupts requests.
TEST_CASE("kumquatctl drains a process under load without interrupting a request")
{
    Cluster cluster("ctl-drain");
    startServing(cluster, {"--service-ms", "20"});
    Host &owner = findBusyOwner(cluster);
    LoadOptions options = cluster.makeLoad(5s, &owner);
    options.skew = 0; // hot keys would be bound first, which delays the slot moves
    BackgroundLoad load(options);
    std::this_thread::sleep_for(500ms);
    const Time drainedAt = readBootTime();
    REQUIRE(cluster.runCtl({"drain", owner.name}) == 0);
    const auto status = owner.process->waitForExit(drainLimit);
    const std::vector<Attempt> attempts = load.finish();
    const Verdict verdict = evaluate(attempts, cluster.collectRecords(), drainedAt);
    INFO(owner.name << " was drained\n"
                    << verdict.toText() << describeFailures(attempts) << owner.process->output());
    CHECK(status == 0);
    REQUIRE(verdict.meetsGuarantees());
    CHECK(verdict.unknown == 0);
    CHECK(verdict.unrecoveredKeys == 0);
    CHECK(countRunsAfter(cluster, owner.upstreamName, drainedAt + drainTarget) == 0);
}

// Guards against a truncated answer that is forwarded as a complete one, and against a second run
// of its request.
TEST_CASE("an answer that is cut short has an unknown outcome")
{
    Cluster cluster("cut-answer");
    startServing(cluster);
    std::mt19937_64 random(std::random_device{}());
    for (const auto &host : cluster.hosts()) {
        Attempt write;
        write.service = "certdesk";
        write.key = "D-3";
        write.token = "cut-" + host->name;
        write.requestId = makeRequestId(readWallTime(), random);
        for (HttpRequest request : {makeRead(write), makeWrite(write)}) {
            request.target += "&padding=100000";
            request.fields.push_back({"X-Cut-Answer", "1"});
            const HttpExchange exchange = Cluster::send(host->callers, request);
            Attempt attempt = write;
            readOutcome(exchange, attempt);
            INFO(host->name << " " << request.method << " " << attempt.error);
            CHECK(attempt.outcome == Outcome::Unknown);
            CHECK(attempt.error == "upstream-lost");
            CHECK(attempt.httpStatus == 502);
            CHECK(exchange.answer.body.find("xxxx") == std::string::npos);
        }
        // Repeat the id, now without truncation. The request has run, so it must not run again.
        Attempt again = write;
        readOutcome(Cluster::send(host->callers, makeWrite(write)), again);
        CHECK(again.error == "duplicate-request");
    }
    for (const auto &host : cluster.hosts()) {
        int writes = 0;
        for (const Run &run : cluster.collectRuns()) {
            writes += run.token == "cut-" + host->name && !run.requestId.empty() ? 1 : 0;
        }
        CHECK(writes == 1);
    }
    CHECK(cluster.read(*cluster.hosts().front(), "certdesk", "D-3").outcome == Outcome::Done);
}
