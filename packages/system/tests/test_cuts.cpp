// Tests network partitions between processes and between regions, processes that are cut off from
// the log, and expired log records with the real programs. The bounds are the targets of
// docs/design.md.
#include "base/text.h"
#include "system/tests/scenario.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace kumquat;

namespace {

constexpr Duration rulesTarget = 4s;      // rules are in force everywhere within 4 s
constexpr Duration peerReplacement = 3s;  // an owner replaces a peer after this silence
constexpr Duration logReadTimeout = 12s;  // a read of a hanging log fails after 12 s
constexpr Duration checkpointLimit = 40s; // each process waits up to 30 s before a checkpoint

constexpr std::string_view extraRule = "route GET /extra/ service=testlog key=segment:2 "
                                       "idempotent=yes timeout=100ms  # asked by Awa Ndiaye\n";

// The paths on which an owner is cut off: messages it sends, messages it receives, and the log.
struct CutDirections
{
    bool fromOwner = false;
    bool toOwner = false;
    bool log = false;
};

void cutOff(Cluster &cluster, const Host &owner, CutDirections directions, bool isCut)
{
    for (const auto &host : cluster.hosts()) {
        if (host.get() != &owner && directions.fromOwner) {
            Cluster::cutMessages(owner, *host, isCut);
        }
        if (host.get() != &owner && directions.toOwner) {
            Cluster::cutMessages(*host, owner, isCut);
        }
    }
    if (directions.log) {
        cluster.controlLog(absl::StrCat("cut?node=", owner.name, "&on=", isCut ? 1 : 0));
    }
}

// Outcomes for callers of the cut-off owner and of the other processes.
struct CutResult
{
    Verdict all;    // both loads, to check the guarantees
    Verdict others; // callers of the other processes, to check the times
    // Runs at the owner's upstream between the end of its lease and the end of the cut.
    int lateRuns = 0;
    std::string details;
};

// Cuts off the busiest owner for 4 s under load.
CutResult cutOwner(Cluster &cluster, CutDirections directions)
{
    startServing(cluster, {"--service-ms", "20"});
    Host &owner = findBusyOwner(cluster);
    BackgroundLoad load(cluster.makeLoad(6s, &owner));
    LoadOptions ownOptions = cluster.makeLoad(6s);
    ownOptions.entries = {owner.callers};
    ownOptions.rate = 50;
    ownOptions.seed = 2;
    ownOptions.probesFailedKeys = false;
    BackgroundLoad ownLoad(ownOptions);
    std::this_thread::sleep_for(500ms);
    const Time cutAt = readBootTime();
    cutOff(cluster, owner, directions, true);
    const Time leaseEnd = readBootTime() + lease;
    std::this_thread::sleep_for(4s);
    const Time restoredAt = readBootTime();
    cutOff(cluster, owner, directions, false);
    const std::vector<Attempt> attempts = load.finish();
    std::vector<Attempt> all = ownLoad.finish();
    all.insert(all.end(), attempts.begin(), attempts.end());
    CutResult result;
    result.all = evaluate(all, cluster.collectRecords());
    result.others = evaluate(attempts, cluster.collectRecords(), cutAt);
    result.lateRuns = countRunsAfter(cluster, owner.upstreamName, leaseEnd)
                      - countRunsAfter(cluster, owner.upstreamName, restoredAt);
    result.details =
            absl::StrCat(owner.name, " was cut off\n", result.all.toText(), result.others.toText(),
                         describeFailures(attempts), cluster.describeLogs());
    return result;
}

void checkReplaced(const CutResult &result)
{
    INFO(result.details);
    REQUIRE(result.all.meetsGuarantees());
    CHECK(result.lateRuns == 0);
    CHECK_FALSE(result.others.errors.empty()); // otherwise the cut had no effect
    CHECK(result.others.unrecoveredKeys == 0);
    CHECK(result.others.longestGap <= recoveryTarget);
    CHECK(result.others.recoveryTime <= recoveryTarget);
}

// Returns the keys that the hosts of a region own according to the host `queried`.
std::set<std::string> findRegionKeys(Cluster &cluster, const LoadOptions &load,
                                     const std::string &region, const Host &queried)
{
    std::set<std::string> keys;
    for (const auto &host : cluster.hosts()) {
        if (host->region == region) {
            keys.merge(findOwnedKeys(load, queried, *host));
        }
    }
    return keys;
}

// Lists the failed attempts whose key is in the set.
std::string describeFailuresOf(const std::vector<Attempt> &attempts,
                               const std::set<std::string> &keys)
{
    std::vector<Attempt> chosen;
    for (const Attempt &attempt : attempts) {
        if (keys.contains(absl::StrCat(attempt.service, "/", attempt.key))) {
            chosen.push_back(attempt);
        }
    }
    return describeFailures(chosen);
}

} // namespace

// Guards against an isolated owner that keeps serving after its lease has ended, and against the
// loss of an owner that the other processes do not detect.
TEST_CASE("an owner that is cut off from all processes and the log is replaced within 2 s")
{
    Cluster cluster("cut-all");
    const CutResult result = cutOwner(cluster, {.fromOwner = true, .toOwner = true, .log = true});
    checkReplaced(result);
}

// Guards against a loss that is not detected because the owner still receives all messages.
TEST_CASE("an owner whose messages are lost is replaced within 2 s")
{
    Cluster cluster("cut-from");
    const CutResult result = cutOwner(cluster, {.fromOwner = true});
    checkReplaced(result);
}

// Guards against an owner that treats received messages as a renewal of its lease. It cannot read
// in the log that its session has ended, so only the lease can stop it.
TEST_CASE("an owner whose messages are lost and that cannot read the log is replaced within 2 s")
{
    Cluster cluster("cut-from-log");
    const CutResult result = cutOwner(cluster, {.fromOwner = true, .log = true});
    checkReplaced(result);
}

// Guards against an owner that serves although it receives no lease grants, and against keys that
// stay with it because its peers still receive its messages.
TEST_CASE("an owner that receives no messages is replaced within 2 s")
{
    Cluster cluster("cut-to");
    const CutResult result = cutOwner(cluster, {.toOwner = true});
    checkReplaced(result);
}

// Guards against an owner whose session ends because a single peer is unreachable.
TEST_CASE("an owner keeps serving while it is cut off from one of its peers")
{
    Cluster cluster("cut-peer");
    startServing(cluster);
    Host &owner = findBusyOwner(cluster);
    const Host &peer = cluster.host(cluster.findPeers().at(owner.name).front());
    // Requests that enter at the peer could not reach the owner, so the peer is not used as an
    // entry.
    LoadOptions options = cluster.makeLoad(peerReplacement + 2s, &owner);
    std::erase(options.entries, peer.callers);
    BackgroundLoad load(options);
    std::this_thread::sleep_for(500ms);
    const auto records = cluster.readLog().size();
    Cluster::cutMessages(owner, peer, true);
    Cluster::cutMessages(peer, owner, true);
    const std::vector<Attempt> attempts = load.finish();
    const auto peers = cluster.findPeers().at(owner.name);
    Cluster::cutMessages(owner, peer, false);
    Cluster::cutMessages(peer, owner, false);
    const Verdict verdict = evaluate(attempts, cluster.collectRecords());
    INFO(owner.name << " was cut off from " << peer.name << "\n"
                    << verdict.toText() << describeFailures(attempts) << cluster.describeLogs());
    REQUIRE(verdict.meetsGuarantees());
    CHECK(verdict.done == verdict.sent);
    CHECK(cluster.readLog().size() > records);
    // Otherwise the cut had no effect.
    CHECK(std::count(peers.begin(), peers.end(), peer.name) == 0);
}

// Guards against a region that stops serving, or takes over the keys of the other region, while the
// regions cannot reach each other and one of them cannot reach the log.
TEST_CASE("partitioned regions keep serving their own keys")
{
    Cluster cluster("regions");
    // The first host of a service gets all its slots. Each region therefore owns the keys of one
    // service, and also has a host that could take over the other service.
    cluster.startHost("d1", "dakar-1", "testlog");
    cluster.startHost("t1", "thies-1", "certdesk");
    REQUIRE(cluster.waitUntilStarted(startLimit));
    REQUIRE(cluster.publishRules() == 0);
    REQUIRE(cluster.waitUntilServed(settleLimit));
    cluster.startHost("d2", "dakar-2", "testlog");
    cluster.startHost("d3", "dakar-3", "certdesk");
    cluster.startHost("t2", "thies-2", "certdesk");
    cluster.startHost("t3", "thies-3", "testlog");
    waitUntilServing(cluster);
    LoadOptions options = cluster.makeLoad(logReadTimeout + 2s);
    options.probesFailedKeys = false;
    options.rate = 100;
    options.threads = 128; // requests for keys of the other region block their threads
    const Host &dakar = cluster.host("d1");
    const Host &thies = cluster.host("t1");
    const auto setPartitioned = [&](bool isPartitioned) {
        for (const auto &a : cluster.hosts()) {
            for (const auto &b : cluster.hosts()) {
                if (a->region != b->region) {
                    Cluster::cutMessages(*a, *b, isPartitioned);
                }
            }
            if (a->region == "thies") {
                cluster.controlLog(
                        absl::StrCat("cut?node=", a->name, "&on=", isPartitioned ? 1 : 0));
            }
        }
    };
    setPartitioned(true);
    const std::set<std::string> dakarKeys = findRegionKeys(cluster, options, "dakar", dakar);
    const std::set<std::string> thiesKeys = findRegionKeys(cluster, options, "thies", thies);
    REQUIRE(!dakarKeys.empty());
    REQUIRE(!thiesKeys.empty());
    LoadOptions dakarOptions = options;
    LoadOptions thiesOptions = options;
    thiesOptions.seed = 2;
    dakarOptions.entries.clear();
    thiesOptions.entries.clear();
    for (const auto &host : cluster.hosts()) {
        (host->region == "dakar" ? dakarOptions : thiesOptions).entries.push_back(host->callers);
    }
    BackgroundLoad dakarLoad(dakarOptions);
    BackgroundLoad thiesLoad(thiesOptions);
    const std::vector<Attempt> dakarAttempts = dakarLoad.finish();
    const std::vector<Attempt> thiesAttempts = thiesLoad.finish();
    const std::set<std::string> dakarKeysAfter = findRegionKeys(cluster, options, "dakar", dakar);
    setPartitioned(false);
    std::vector<Attempt> all = dakarAttempts;
    all.insert(all.end(), thiesAttempts.begin(), thiesAttempts.end());
    const Verdict verdict = evaluate(all, cluster.collectRecords());
    const std::string dakarFailures = describeFailuresOf(dakarAttempts, dakarKeys);
    const std::string thiesFailures = describeFailuresOf(thiesAttempts, thiesKeys);
    INFO(dakarKeys.size() << " keys in dakar, " << thiesKeys.size() << " in thies\n"
                          << verdict.toText() << cluster.describeLogs());
    REQUIRE(verdict.meetsGuarantees());
    CHECK(verdict.done < verdict.sent); // otherwise the cut had no effect
    CHECK(dakarFailures == "");
    CHECK(thiesFailures == "");
    CHECK(dakarKeysAfter == dakarKeys);
    CHECK(cluster.waitUntilServed(settleLimit));
}

// Guards against a process that stops serving because it alone cannot read the log, and against one
// that receives new rules only after it can read the log again.
TEST_CASE("a process that is cut off from the log keeps serving and accepts new rules from others")
{
    Cluster cluster("cut-log");
    startServing(cluster);
    const Host &lagging = cluster.host("t4");
    writeFile(cluster.rulesPath() + "-a",
              absl::StrCat(readFile(cluster.rulesPath()), toAbsl(extraRule)));
    cluster.controlLog("cut?node=t4&on=1");
    BackgroundLoad load(cluster.makeLoad(5s));
    std::string output;
    const int status = cluster.runCtl({"publish", cluster.rulesPath() + "-a"}, &output);
    const Attempt early = cluster.read(lagging, "extra", "D-1");
    const std::vector<Attempt> attempts = load.finish();
    const Verdict verdict = evaluate(attempts, cluster.collectRecords());
    INFO(output << "\n"
                << verdict.toText() << describeFailures(attempts) << cluster.describeLogs());
    CHECK(status == 0);
    CHECK(early.outcome == Outcome::Done);
    REQUIRE(verdict.meetsGuarantees());
    CHECK(verdict.done == verdict.sent);
}

// Guards against a publication that reports processes as up to date although they lack the rules,
// and against processes that still lack the rules after they can read the log again.
TEST_CASE("processes that lack new rules are named and apply them afterwards")
{
    Cluster cluster("cut-all");
    startServing(cluster);
    const Host &lagging = cluster.host("t4");
    const auto setCut = [&cluster](bool isCut) {
        for (const auto &host : cluster.hosts()) {
            cluster.controlLog(absl::StrCat("cut?node=", host->name, "&on=", isCut ? 1 : 0));
        }
    };
    writeFile(cluster.rulesPath() + "-a",
              absl::StrCat(readFile(cluster.rulesPath()), toAbsl(extraRule)));
    setCut(true);
    std::string output;
    const int status = cluster.runCtl({"publish", cluster.rulesPath() + "-a"}, &output);
    const Attempt early = cluster.read(lagging, "extra", "D-1");
    INFO(output << "\n" << cluster.describeLogs());
    CHECK(status == 1);
    CHECK(output.find("t1") != std::string::npos);
    CHECK(output.find("t4") != std::string::npos);
    CHECK(early.error == "no-rule");

    setCut(false);
    const Time restoredAt = readBootTime();
    while (cluster.read(lagging, "extra", "D-1").outcome != Outcome::Done
           && readBootTime() - restoredAt <= rulesTarget) {
        std::this_thread::sleep_for(50ms);
    }
    CHECK(cluster.read(lagging, "extra", "D-1").outcome == Outcome::Done);
}

// Guards against a process with an outdated table that refuses requests for keys that have moved.
// Such a process waited for a log that it could not read, and did not know of keys that had moved
// to it.
TEST_CASE("a process that is cut off from the log serves keys that have moved since")
{
    Cluster cluster("cut-moved");
    startServing(cluster);
    const Host &leaving = findBusyOwner(cluster);
    const Host &lagging = cluster.host(leaving.name == "t4" ? "t3" : "t4");
    const Host &witness = cluster.host(leaving.name == "t1" ? "t2" : "t1");
    LoadOptions options = cluster.makeLoad(6s);
    options.entries = {lagging.callers};
    const std::set<std::string> before = findOwnedKeys(options, lagging, leaving);
    REQUIRE_FALSE(before.empty());
    cluster.controlLog(absl::StrCat("cut?node=", lagging.name, "&on=1"));
    BackgroundLoad load(options);
    Cluster::controlUpstream(leaving, "set?draining=1");
    const std::vector<Attempt> attempts = load.finish();
    const Verdict verdict = evaluate(attempts, cluster.collectRecords());
    INFO(verdict.toText() << describeFailures(attempts) << cluster.describeLogs());
    REQUIRE(verdict.meetsGuarantees());
    CHECK(findOwnedKeys(options, witness, leaving).empty());
    CHECK_FALSE(findOwnedKeys(options, witness, lagging).empty());
    CHECK(verdict.done == verdict.sent);
}

// Guards against a new process that lacks the state from expired records.
TEST_CASE("a process that starts after records have expired joins from a checkpoint")
{
    Cluster cluster("expired");
    cluster.setRetention(1s);
    startServing(cluster);
    const auto findCheckpoint = [&cluster] {
        std::uint64_t rules = 0;
        std::uint64_t first = 0;
        for (const auto &[offset, record] : cluster.readLog()) {
            rules = record.has_rules() ? offset : rules;
            const bool isUsable = record.has_checkpoint() && record.checkpoint().part() == 0
                                  && record.checkpoint().covers() > rules;
            first = isUsable ? offset : first;
        }
        return first;
    };
    const Time deadline = readBootTime() + checkpointLimit;
    std::uint64_t checkpoint = findCheckpoint();
    while (checkpoint == 0 && readBootTime() < deadline) {
        std::this_thread::sleep_for(100ms);
        checkpoint = findCheckpoint();
    }
    REQUIRE(checkpoint > 0);
    // Expire the records before the checkpoint and retain all later ones.
    const auto records = cluster.readLog();
    const auto kept = records.back().first + 1 - checkpoint;
    cluster.controlLog(absl::StrCat("retention?records=", kept));
    cluster.controlLog("retention?records=1000000");
    REQUIRE(cluster.readLog().front().first >= checkpoint);

    Host &added = cluster.startHost("t5", "dakar-2", "testlog");
    const bool isStarted = cluster.waitUntilStarted(startLimit);
    const bool isServed = cluster.waitUntilServed(settleLimit);
    INFO(added.process->output() << cluster.describeLogs());
    REQUIRE(isStarted);
    REQUIRE(isServed);
    const std::vector<Attempt> attempts = LoadGenerator(cluster.makeLoad(2s)).run();
    const Verdict verdict = evaluate(attempts, cluster.collectRecords());
    INFO(verdict.toText() << describeFailures(attempts));
    CHECK(verdict.meetsGuarantees());
    CHECK(verdict.done == verdict.sent);
    const auto hasJoined = [&cluster] {
        const auto joined = cluster.readLog();
        return std::any_of(joined.begin(), joined.end(), [](const auto &entry) {
            return entry.second.has_join() && entry.second.join().node() == "t5";
        });
    };
    const Time joinLimit = readBootTime() + settleLimit;
    while (!hasJoined() && readBootTime() < joinLimit) {
        std::this_thread::sleep_for(100ms);
    }
    CHECK(hasJoined());
}
