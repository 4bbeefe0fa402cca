#include "stage/broadcast.h"

#include <algorithm>
#include <map>

namespace kumquat {
namespace {

void add(BroadcastBranch &branch, const std::string &node)
{
    if (branch.head.empty()) {
        branch.head = node;
    } else {
        branch.rest.push_back(node);
    }
}

} // namespace

std::vector<BroadcastBranch> planBroadcast(const BroadcastHost &own,
                                           const std::vector<BroadcastHost> &hosts,
                                           std::size_t branches)
{
    std::map<std::string, BroadcastBranch> regions;     // other regions, by name
    std::map<std::string, BroadcastBranch> dataCentres; // others of the own region, by name
    std::vector<BroadcastBranch> nearBranches(branches);
    std::size_t nearCount = 0;
    for (const BroadcastHost &host : hosts) {
        if (host.region != own.region) {
            add(regions[host.region], host.node);
        } else if (host.dataCentre != own.dataCentre) {
            add(dataCentres[host.dataCentre], host.node);
        } else {
            add(nearBranches[nearCount++ % branches], host.node);
        }
    }
    std::vector<BroadcastBranch> result;
    result.reserve(regions.size() + dataCentres.size() + branches);
    for (auto &[name, branch] : regions) {
        result.push_back(std::move(branch));
    }
    for (auto &[name, branch] : dataCentres) {
        result.push_back(std::move(branch));
    }
    for (BroadcastBranch &branch : nearBranches) {
        if (!branch.head.empty()) {
            result.push_back(std::move(branch));
        }
    }
    return result;
}

} // namespace kumquat
