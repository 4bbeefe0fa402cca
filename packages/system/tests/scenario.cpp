#include "system/tests/scenario.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace kumquat {
namespace {

std::string formatKey(const std::string &service, const std::string &key)
{
    return absl::StrCat(service, "/", key);
}

} // namespace

BackgroundLoad::BackgroundLoad(const LoadOptions &options)
    : generator(options)
    , attempts(std::async(std::launch::async, [this] { return this->generator.run(); }))
{}

void waitUntilServing(Cluster &cluster)
{
    const bool isStarted = cluster.waitUntilStarted(startLimit);
    const int published = cluster.publishRules();
    const bool isServed = cluster.waitUntilServed(startLimit);
    const bool isProtected = cluster.waitUntilProtected(startLimit);
    INFO(cluster.describeLogs());
    REQUIRE(isStarted);
    REQUIRE(published == 0);
    REQUIRE(isServed);
    REQUIRE(isProtected);
}

void startServing(Cluster &cluster, const std::vector<std::string> &upstreamOptions)
{
    cluster.startDefaultHosts(upstreamOptions);
    waitUntilServing(cluster);
}

Host &findBusyOwner(Cluster &cluster)
{
    const Time since = readBootTime();
    LoadGenerator(cluster.makeLoad(1s)).run();
    return cluster.findBusiest("testlog", since);
}

std::string describeFailures(const std::vector<Attempt> &attempts)
{
    constexpr int maxListed = 20;
    std::string text;
    int count = 0;
    for (const Attempt &attempt : attempts) {
        if (attempt.outcome != Outcome::Done && ++count <= maxListed) {
            absl::StrAppend(&text, "failed: ", attempt.service, "/", attempt.key, " ",
                            attempt.error, " token=", attempt.token, " attempt=", attempt.number,
                            " id=", attempt.requestId, " due=", attempt.due.count(),
                            " finished=", attempt.finished.count(), "\n");
        }
    }
    return text;
}

int countRunsAfter(const Cluster &cluster, const std::string &upstream, Time time)
{
    int count = 0;
    for (const Run &run : cluster.collectRuns()) {
        count += run.upstream == upstream && run.start > time ? 1 : 0;
    }
    return count;
}

int countRunsOfOldGrants(const Cluster &cluster, const std::string &upstream, Time time,
                         std::uint64_t offset)
{
    int count = 0;
    for (const Run &run : cluster.collectRuns()) {
        std::uint64_t epoch = 0;
        const bool isNumber = absl::SimpleAtoi(run.fence.substr(run.fence.rfind(' ') + 1), &epoch);
        const bool isOld = !isNumber || epoch < offset;
        count += run.upstream == upstream && run.start > time && isOld ? 1 : 0;
    }
    return count;
}

std::set<std::string> findOwnedKeys(const LoadOptions &load, const Host &queried, const Host &owner)
{
    std::set<std::string> keys;
    for (const std::string &service : load.services) {
        for (int number = 0; number < load.keys; ++number) {
            const std::string key = absl::StrCat("D-", number);
            if (Cluster::queryOwner(queried, service, key) == owner.name) {
                keys.insert(formatKey(service, key));
            }
        }
    }
    return keys;
}

std::set<std::string> findLastRunKeys(const Cluster &cluster, const Host &host)
{
    std::map<std::string, std::pair<Time, std::string>> latest;
    for (const Run &run : cluster.collectRuns()) {
        auto &last = latest[formatKey(run.service, run.key)];
        last = std::max(last, {run.start, run.upstream});
    }
    std::set<std::string> keys;
    for (const auto &[key, last] : latest) {
        if (last.second == host.upstreamName) {
            keys.insert(key);
        }
    }
    return keys;
}

std::vector<Attempt> findFailuresOutside(const std::vector<Attempt> &attempts,
                                         const std::set<std::string> &keys)
{
    std::vector<Attempt> failures;
    for (const Attempt &attempt : attempts) {
        if (attempt.outcome != Outcome::Done
            && !keys.contains(formatKey(attempt.service, attempt.key))) {
            failures.push_back(attempt);
        }
    }
    return failures;
}

} // namespace kumquat
