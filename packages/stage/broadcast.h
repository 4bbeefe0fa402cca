// Plans how news goes to many hosts: each host sends a few copies, and passes the rest of the list
// on with them. One copy goes to each other region, one to each other data centre of the own
// region, and the hosts of the own data centre share the list in equal parts.
//
//   for (const BroadcastBranch &part : planBroadcast(own, hosts)) {
//       ... send the news to part.head, which passes it on to part.rest ...
//   }
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace kumquat {

struct BroadcastHost
{
    std::string node;
    std::string dataCentre;
    std::string region;
};

struct BroadcastBranch
{
    std::string head;              // gets the news from this host
    std::vector<std::string> rest; // get it from the head
};

// Parts of the own data centre. With 9 data centres in 3 regions a host sends 8 copies at most, and
// 300 hosts are reached after 5 hops.
inline constexpr std::size_t broadcastBranches = 4;

// Each host stands in one part once; the order of `hosts` chooses the heads.
std::vector<BroadcastBranch> planBroadcast(const BroadcastHost &own,
                                           const std::vector<BroadcastHost> &hosts,
                                           std::size_t parts = broadcastBranches);

} // namespace kumquat
