#include "keyspace/voter_choice.h"

#include "base/hash.h"
#include "keyspace/lease.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace kumquat {
namespace {

bool isUnavailable(const std::vector<HostInfo> &hosts, const std::string &node)
{
    const HostInfo *info = findHost(hosts, node);
    return info == nullptr || !info->isReachable;
}

bool isStopping(const std::vector<HostInfo> &hosts, const std::string &node)
{
    const HostInfo *info = findHost(hosts, node);
    return info != nullptr && info->isStopping;
}

// Picks voters that rarely fail together: each in another data centre if possible, with those of
// the owner's region first.
std::vector<std::string> pickVoters(const KeySession &session, const std::vector<HostInfo> &hosts,
                                    std::size_t count)
{
    const HostInfo *ownHost = findHost(hosts, session.node);
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
        const bool sameRegion = ownHost != nullptr && ownHost->region == info.region;
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

// Returns the voters to use instead of the present ones, or std::nullopt to keep them.
//
// A set of fewer voters is chosen only if the lease could not be renewed otherwise. It is safe:
// until the owner has read the new set, both sets must give proof that the session has stopped.
std::optional<std::vector<std::string>> replaceVoters(const KeySession &session,
                                                      const VoterInput &input)
{
    std::size_t left = 0;
    std::size_t unavailable = 0;
    for (const std::string &voter : session.voters) {
        const bool isLost = isUnavailable(input.hosts, voter);
        unavailable += isLost ? 1 : 0;
        left += !isLost && !isStopping(input.hosts, voter) ? 1 : 0;
    }
    const std::size_t others = std::max<std::size_t>(1, input.hosts.size()) - 1;
    const bool hasTooFew = session.voters.size() < std::min(input.count, others);
    const bool hasLostLease = left < voterMajority(session.voters.size());
    if (!hasTooFew && unavailable == 0 && !hasLostLease) {
        return std::nullopt;
    }
    std::vector<std::string> voters = pickVoters(session, input.hosts, input.count);
    const bool mayBeCutOff = (unavailable > 0 || voters.empty()) && !input.mayEnd;
    const bool mayUse = voters.size() >= session.voters.size() || (hasLostLease && !mayBeCutOff);
    return mayUse && voters != session.voters ? std::optional(std::move(voters)) : std::nullopt;
}

} // namespace

bool updateVoters(KeySession &session, bool usesVoters, bool isNew, const VoterInput &input)
{
    bool mustWrite = false;
    if (!session.formerVoters.empty() && usesVoters) {
        // Written with the next change, but at once if a lost voter could be missed in a proof.
        mustWrite = std::any_of(
                session.formerVoters.begin(), session.formerVoters.end(),
                [&input](const std::string &voter) { return isUnavailable(input.hosts, voter); });
        session.formerVoters.clear();
    }
    if (!session.formerVoters.empty()) {
        return false;
    }
    std::optional<std::vector<std::string>> voters = replaceVoters(session, input);
    if (!voters) {
        return mustWrite;
    }
    session.formerVoters = std::exchange(session.voters, *std::move(voters));
    if (session.formerVoters.empty() && !isNew) {
        // Until the session's host has read the new voters, it keeps working without any vote, so
        // the host itself remains a former voter.
        session.formerVoters = {session.node};
    }
    return true;
}

} // namespace kumquat
