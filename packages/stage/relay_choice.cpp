#include "stage/relay_choice.h"

#include "base/hash.h"

#include <algorithm>

namespace kumquat {
namespace {

std::uint64_t orderOf(const std::string &node)
{
    // Differs from the seeds of other hashed orders.
    constexpr std::uint64_t relaySeed = 0x72656c6179;
    return hashBytes(node, relaySeed);
}

} // namespace

void RelayChoice::noteHeard(const std::string &node, RelayStatus status, Time now)
{
    this->contacts[node] = {.at = now, .canBeQueried = status.readsStore && status.hasAddress};
}

bool RelayChoice::isRelay(const std::string &own, Time now) const
{
    const std::uint64_t ownOrder = orderOf(own);
    const auto before =
            std::count_if(this->contacts.begin(), this->contacts.end(), [&](const auto &entry) {
                return entry.first != own && entry.second.canBeQueried
                       && now - entry.second.at < this->settings.silentAfter
                       && orderOf(entry.first) < ownOrder;
            });
    return static_cast<std::size_t>(before) < this->settings.relays;
}

std::vector<std::string> RelayChoice::ordered(std::vector<std::string> nodes)
{
    std::sort(nodes.begin(), nodes.end(),
              [](const std::string &a, const std::string &b) { return orderOf(a) < orderOf(b); });
    return nodes;
}

std::vector<std::string> RelayChoice::preferred(std::vector<std::string> nodes) const
{
    nodes = ordered(std::move(nodes));
    nodes.resize(std::min(nodes.size(), this->settings.relays));
    return nodes;
}

Duration RelayChoice::pauseFor(const std::string &own, std::vector<std::string> nodes,
                               Duration running) const
{
    if (running < this->settings.startPeriod && nodes.size() < this->settings.minKnownHosts) {
        return this->settings.temporaryRelayPause;
    }
    if (std::find(nodes.begin(), nodes.end(), own) == nodes.end()) {
        nodes.push_back(own);
    }
    const std::vector<std::string> relays = this->preferred(std::move(nodes));
    const bool isPreferred = std::find(relays.begin(), relays.end(), own) != relays.end();
    return isPreferred ? this->settings.pause : this->settings.temporaryRelayPause;
}

} // namespace kumquat
