#include "routing/full_hosts.h"

#include <algorithm>

namespace kumquat {

void FullHosts::noteFull(const std::string &node, std::uint32_t rank, Duration retryAfter, Time now)
{
    Refusal &refusal = this->refusals[node];
    const bool isKnown = now < refusal.until;
    refusal.rank = isKnown ? std::min(refusal.rank, rank) : rank;
    refusal.retryAfter = retryAfter;
    refusal.until = now + this->settings.memory;
}

std::optional<Duration> FullHosts::waitFor(const std::string &node, std::uint32_t rank,
                                           Time now) const
{
    const auto found = this->refusals.find(node);
    const bool isFull = found != this->refusals.end() && now < found->second.until
                        && rank >= found->second.rank;
    return isFull ? std::optional(found->second.retryAfter) : std::nullopt;
}

} // namespace kumquat
