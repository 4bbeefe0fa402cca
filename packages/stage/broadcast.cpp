#include "stage/broadcast.h"

#include <algorithm>
#include <map>

namespace kumquat {
namespace {

void add(BroadcastBranch &part, const std::string &node)
{
    if (part.head.empty()) {
        part.head = node;
    } else {
        part.rest.push_back(node);
    }
}

} // namespace

std::vector<BroadcastBranch>
planBroadcast(const BroadcastHost &own, const std::vector<BroadcastHost> &hosts, std::size_t parts)
{
    std::map<std::string, BroadcastBranch> regions;     // other ones, by name
    std::map<std::string, BroadcastBranch> dataCentres; // other ones of the own region, by name
    std::vector<BroadcastBranch> near(parts);
    std::size_t nearCount = 0;
    for (const BroadcastHost &host : hosts) {
        if (host.region != own.region) {
            add(regions[host.region], host.node);
        } else if (host.dataCentre != own.dataCentre) {
            add(dataCentres[host.dataCentre], host.node);
        } else {
            add(near[nearCount++ % parts], host.node);
        }
    }
    std::vector<BroadcastBranch> result;
    result.reserve(regions.size() + dataCentres.size() + parts);
    for (auto &[name, part] : regions) {
        result.push_back(std::move(part));
    }
    for (auto &[name, part] : dataCentres) {
        result.push_back(std::move(part));
    }
    for (BroadcastBranch &part : near) {
        if (!part.head.empty()) {
            result.push_back(std::move(part));
        }
    }
    return result;
}

} // namespace kumquat
