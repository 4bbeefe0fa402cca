// Steps shared by the process tests: start a cluster, apply load, wait, and describe failures.
//
//   Cluster cluster("kill");
//   startServing(cluster);
//   BackgroundLoad load(cluster.makeLoad(8s));
//   ... inject a fault ...
//   Verdict verdict = evaluate(load.finish(), cluster.collectRecords());
#pragma once

#include "standins/verdict.h"
#include "system/cluster.h"

#include <future>
#include <set>
#include <string>
#include <vector>

namespace kumquat {

constexpr Duration startLimit = 12s;
// Timeout for conditions without a target; far above the time that an idle machine needs.
constexpr Duration settleLimit = 15s;
constexpr Duration recoveryTarget = 2s; // a key is served again within 2 s of a loss
constexpr Duration lease = 1200ms;      // an owner stops serving this long after its last renewal
constexpr Duration drainTarget = 3s;    // a draining upstream receives no new work after 3 s
constexpr Duration drainLimit = 20s;

// Load that runs while the test injects a fault.
class BackgroundLoad
{
public:
    explicit BackgroundLoad(const LoadOptions &options);

    std::vector<Attempt> finish() { return this->attempts.get(); }

private:
    LoadGenerator generator;
    std::future<std::vector<Attempt>> attempts;
};

// Publishes the rules and waits until the started hosts serve and the loss of one is tolerated.
void waitUntilServing(Cluster &cluster);

// Starts the default hosts, publishes the rules and waits until the loss of an owner is tolerated.
void startServing(Cluster &cluster, const std::vector<std::string> &upstreamOptions = {});

// Applies a short load and returns the testlog host whose upstream ran most of it.
Host &findBusyOwner(Cluster &cluster);

// Lists the first 20 attempts whose outcome is not Done.
std::string describeFailures(const std::vector<Attempt> &attempts);

// Returns the number of runs at an upstream that began after the time.
int countRunsAfter(const Cluster &cluster, const std::string &upstream, Time time);

// Returns the number of runs at an upstream that began after the time and whose grant was recorded
// in the log before the offset. A run without a numeric fence epoch counts as well.
int countRunsOfOldGrants(const Cluster &cluster, const std::string &upstream, Time time,
                         std::uint64_t offset);

// Returns the keys of the load, as SERVICE/KEY, that `owner` owns according to `queried`.
std::set<std::string> findOwnedKeys(const LoadOptions &load, const Host &queried,
                                    const Host &owner);

// Returns the keys, as SERVICE/KEY, whose last run was at the current upstream of the host.
std::set<std::string> findLastRunKeys(const Cluster &cluster, const Host &host);

// Returns the attempts whose outcome is not Done and whose key is not in the set.
std::vector<Attempt> findFailuresOutside(const std::vector<Attempt> &attempts,
                                         const std::set<std::string> &keys);

} // namespace kumquat
