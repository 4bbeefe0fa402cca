// Plans how new state is broadcast to many hosts. Each host sends a few copies and with each copy
// the list of hosts to which its receiver forwards it. One copy goes to each other region, one to
// each other data centre of the own region, and the hosts of the own data centre are split into
// branches of equal size.
//
//   for (const BroadcastBranch &branch : planBroadcast(own, hosts)) {
//       ... send the state to branch.head, which forwards it to branch.rest ...
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
    std::string head;              // gets the state from this host
    std::vector<std::string> rest; // hosts that get the state from the head
};

// Branches within the own data centre. With 9 data centres in 3 regions a host sends at most 8
// copies, and 300 hosts are reached after 5 hops.
inline constexpr std::size_t broadcastBranches = 4;

// Puts each host into exactly one branch. The first host of a branch, in the order of `hosts`, is
// its head.
std::vector<BroadcastBranch> planBroadcast(const BroadcastHost &own,
                                           const std::vector<BroadcastHost> &hosts,
                                           std::size_t branches = broadcastBranches);

} // namespace kumquat
