#include "admission/caller_wait.h"

#include <algorithm>
#include <cmath>

namespace kumquat {
namespace {

// Requests between two decays of the counts.
constexpr std::size_t decayInterval = 50;

constexpr double minCount = 0.5; // smaller counts are dropped

} // namespace

Duration CallerWait::note(std::uint64_t routeHash, Duration remaining)
{
    if (!this->routes.contains(routeHash) && this->routes.size() >= this->settings.maxRoutes) {
        return Duration::zero();
    }
    Route &route = this->routes[routeHash];
    if (++route.sinceDecay >= decayInterval) {
        this->decay(route);
    }
    const std::int64_t time = remaining / this->settings.resolution;
    route.requests += 1;
    if (route.times.contains(time) || route.times.size() < this->settings.maxTimes) {
        route.times[time] += 1;
    }
    if (route.requests < this->settings.minRequests) {
        return Duration::zero();
    }
    const double minUsual = route.requests * this->settings.minUsualShare;
    const auto usual =
            std::find_if(route.times.lower_bound(time), route.times.end(),
                         [minUsual](const auto &entry) { return entry.second >= minUsual; });
    // Less than the resolution is the time that the request took to arrive.
    return usual == route.times.end() || usual->first <= time + 1
                   ? Duration::zero()
                   : (usual->first - time) * this->settings.resolution;
}

void CallerWait::decay(Route &route) const
{
    route.sinceDecay = 0;
    const double kept =
            std::exp(-static_cast<double>(decayInterval) / this->settings.learnedRequests);
    route.requests *= kept;
    for (auto &[time, count] : route.times) {
        count *= kept;
    }
    std::erase_if(route.times, [](const auto &entry) { return entry.second < minCount; });
}

} // namespace kumquat
