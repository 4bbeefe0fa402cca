#include "routing/configuration.h"

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
    std::vector<double> &credit = this->credits[route.name];
    credit.resize(route.services.size(), 0.0);
    double total = 0;
    for (std::size_t i = 0; i < credit.size(); ++i) {
        credit[i] += route.services[i].weight;
        total += route.services[i].weight;
    }
    const auto most = std::max_element(credit.begin(), credit.end());
    *most -= total;
    return route.services[static_cast<std::size_t>(most - credit.begin())].service;
}

} // namespace kumquat
