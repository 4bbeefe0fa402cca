#include "stage/writer_choice.h"

#include "base/hash.h"

#include <algorithm>

namespace kumquat {

void WriterChoice::noteSilent(const std::string &node, Time now)
{
    Suspicion &suspicion = this->suspicions[node];
    suspicion.length = suspicion.length == Duration::zero()
                               ? this->settings.initialSuspicion
                               : std::min(suspicion.length * 2, this->settings.maxSuspicion);
    suspicion.until = now + suspicion.length;
}

std::string WriterChoice::choose(const std::string &service, const std::vector<std::string> &nodes,
                                 const std::string &own, Time now) const
{
    const std::uint64_t seed = hashBytes(service);
    std::string best = own;
    std::uint64_t bestOrder = hashPair(seed, hashBytes(own));
    for (const std::string &node : nodes) {
        const auto suspicion = this->suspicions.find(node);
        const bool isSuspect = suspicion != this->suspicions.end() && now < suspicion->second.until;
        const std::uint64_t order = hashPair(seed, hashBytes(node));
        if (!isSuspect && order < bestOrder) {
            best = node;
            bestOrder = order;
        }
    }
    return best;
}

} // namespace kumquat
