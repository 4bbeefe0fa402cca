#include "routing/configuration.h"

#include "base/hash.h"

#include <algorithm>

namespace kumquat {

const Route *Configuration::match(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const std::string_view plainPath = path.substr(0, path.find('?'));
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        if (route.host == name && plainPath.starts_with(route.prefix)
            && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

const ServiceInfo *Configuration::service(std::string_view name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

const std::string &RouteSplitter::pick(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    const auto found = this->splits.find(route.name);
    if (found == this->splits.end() || found->second.services != route.services) {
        this->splits[route.name] = this->makeSplit(route);
    }
    return route.services[advance(this->splits[route.name])].service;
}

RouteSplitter::Split RouteSplitter::makeSplit(const Route &route) const
{
    Split split{.services = route.services,
                .credits = std::vector<std::int64_t>(route.services.size(), 0)};
    std::uint64_t total = 0;
    for (const ServiceWeight &service : route.services) {
        total += service.weight;
    }
    // The sequence repeats after as many picks as the sum of the weights. The start position is
    // limited, because more positions than that give no better mix.
    constexpr std::uint64_t maxStart = 1000;
    const std::uint64_t startPositions = std::clamp(total, std::uint64_t(1), maxStart);
    const std::uint64_t picks = hashBytes(route.name, this->seed) % startPositions;
    for (std::uint64_t i = 0; i < picks; ++i) {
        advance(split);
    }
    return split;
}

std::size_t RouteSplitter::advance(Split &split)
{
    std::int64_t total = 0;
    for (std::size_t i = 0; i < split.credits.size(); ++i) {
        split.credits[i] += split.services[i].weight;
        total += split.services[i].weight;
    }
    const auto largest = std::max_element(split.credits.begin(), split.credits.end());
    *largest -= total;
    return static_cast<std::size_t>(largest - split.credits.begin());
}

} // namespace kumquat
