#include "keyspace/voter_choice.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace kumquat {

std::vector<std::string> pickVoters(const KeySession &session, const std::vector<HostInfo> &hosts,
                                    std::size_t count)
{
    const auto ownHost = std::find_if(hosts.begin(), hosts.end(), [&session](const HostInfo &info) {
        return info.node == session.node;
    });
    struct Choice
    {
        std::size_t cost;
        std::uint64_t order;
        const HostInfo *info;
    };
    std::vector<Choice> choices;
    for (const HostInfo &info : hosts) {
        if (info.node == session.node || !info.isReachable || info.isStopping) {
            continue;
        }
        const bool sameRegion = ownHost != hosts.end() && ownHost->region == info.region;
        choices.push_back({sameRegion ? 0UL : 1UL,
                           hashPair(hashBytes(session.node), hashBytes(info.node)), &info});
    }
    std::sort(choices.begin(), choices.end(), [](const Choice &first, const Choice &second) {
        return std::tie(first.cost, first.order) < std::tie(second.cost, second.order);
    });
    std::vector<std::string> picked;
    std::vector<std::string> usedDataCentres;
    for (const bool allowSameDataCentre : {false, true}) {
        for (const Choice &choice : choices) {
            const bool isUsed = std::find(usedDataCentres.begin(), usedDataCentres.end(),
                                          choice.info->dataCentre)
                                != usedDataCentres.end();
            const bool isPicked =
                    std::find(picked.begin(), picked.end(), choice.info->node) != picked.end();
            if (picked.size() < count && !isPicked && (allowSameDataCentre || !isUsed)) {
                picked.push_back(choice.info->node);
                usedDataCentres.push_back(choice.info->dataCentre);
            }
        }
    }
    return picked;
}

} // namespace kumquat
