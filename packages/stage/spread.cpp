#include "stage/spread.h"

#include <algorithm>
#include <map>

namespace kumquat {
namespace {

void add(SpreadPart &part, const std::string &node)
{
    if (part.head.empty()) {
        part.head = node;
    } else {
        part.rest.push_back(node);
    }
}

} // namespace

std::vector<SpreadPart> planSpread(const SpreadHost &own, const std::vector<SpreadHost> &hosts,
                                   std::size_t parts)
{
    std::map<std::string, SpreadPart> regions;     // other ones, by name
    std::map<std::string, SpreadPart> dataCentres; // other ones of the own region, by name
    std::vector<SpreadPart> near(parts);
    std::size_t nearCount = 0;
    for (const SpreadHost &host : hosts) {
        if (host.region != own.region) {
            add(regions[host.region], host.node);
        } else if (host.dataCentre != own.dataCentre) {
            add(dataCentres[host.dataCentre], host.node);
        } else {
            add(near[nearCount++ % parts], host.node);
        }
    }
    std::vector<SpreadPart> result;
    result.reserve(regions.size() + dataCentres.size() + parts);
    for (auto &[name, part] : regions) {
        result.push_back(std::move(part));
    }
    for (auto &[name, part] : dataCentres) {
        result.push_back(std::move(part));
    }
    for (SpreadPart &part : near) {
        if (!part.head.empty()) {
            result.push_back(std::move(part));
        }
    }
    return result;
}

} // namespace kumquat
