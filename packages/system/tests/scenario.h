// Steps that the process tests share: start and load a cluster, wait, and describe what failed.
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
// For conditions without a target: far above what an idle machine needs.
constexpr Duration settleLimit = 15s;
constexpr Duration recoveryTarget = 2s; // a key is served again within 2 s of a loss
constexpr Duration lease = 1200ms;      // an owner serves no longer than this without renewals
constexpr Duration drainTarget = 3s;    // a leaving upstream receives no new work after 3 s
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

// Publishes the rules and waits until the hosts that were started serve and can be lost.
void waitUntilServing(Cluster &cluster);

// Starts the usual hosts, publishes the rules and waits until owners can be lost.
void startServing(Cluster &cluster, const std::vector<std::string> &upstreamOptions = {});

// Returns the testlog host that runs most of a short load.
Host &findBusyOwner(Cluster &cluster);

// Lists the requests that were not done.
std::string describeFailures(const std::vector<Attempt> &attempts);

// Returns the number of runs at an upstream that began after the time.
int countRunsAfter(const Cluster &cluster, const std::string &upstream, Time time);

// Returns the number of runs at an upstream that began after the time under a grant whose record
// is below the offset of the log.
int countRunsOfOldGrants(const Cluster &cluster, const std::string &upstream, Time time,
                         std::uint64_t offset);

// Returns the keys of the load, as SERVICE/KEY, that the host owns as another host knows it.
std::set<std::string> findOwnedKeys(const LoadOptions &load, const Host &asked, const Host &owner);

// Returns the keys that last ran at the upstream of the host.
std::set<std::string> findLastRunKeys(const Cluster &cluster, const Host &host);

// Returns the attempts that were not done although their key is not in the set.
std::vector<Attempt> findFailuresOutside(const std::vector<Attempt> &attempts,
                                         const std::set<std::string> &keys);

} // namespace kumquat
