#include "stage/relay_choice.h"

#include "base/hash.h"

#include <algorithm>

namespace kumquat {
namespace {

std::uint64_t orderOf(const std::string &node)
{
    constexpr std::uint64_t relaySeed = 0x72656c6179; // apart from other hashed orders
    return hashBytes(node, relaySeed);
}

} // namespace

void RelayChoice::noteHeard(const std::string &node, RelayNews news, Time now)
{
    this->heard[node] = {.at = now, .canBeAsked = news.readsStore && news.hasAddress};
}

bool RelayChoice::isRelay(const std::string &own, Time now) const
{
    const std::uint64_t ownOrder = orderOf(own);
    const auto before =
            std::count_if(this->heard.begin(), this->heard.end(), [&](const auto &entry) {
                return entry.first != own && entry.second.canBeAsked
                       && now - entry.second.at < this->settings.silentAfter
                       && orderOf(entry.first) < ownOrder;
            });
    return static_cast<std::size_t>(before) < this->settings.relays;
}

std::vector<std::string> RelayChoice::first(std::vector<std::string> nodes) const
{
    std::sort(nodes.begin(), nodes.end(),
              [](const std::string &a, const std::string &b) { return orderOf(a) < orderOf(b); });
    nodes.resize(std::min(nodes.size(), this->settings.relays));
    return nodes;
}

Duration RelayChoice::pauseOf(const std::string &own, std::vector<std::string> nodes,
                              Duration running) const
{
    if (running < this->settings.startTime && nodes.size() < this->settings.fewHosts) {
        return this->settings.standInPause;
    }
    if (std::find(nodes.begin(), nodes.end(), own) == nodes.end()) {
        nodes.push_back(own);
    }
    const std::vector<std::string> relays = this->first(std::move(nodes));
    const bool isFirst = std::find(relays.begin(), relays.end(), own) != relays.end();
    return isFirst ? this->settings.pause : this->settings.standInPause;
}

} // namespace kumquat
