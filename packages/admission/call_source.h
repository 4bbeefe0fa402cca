// Tells the requests that the upstream beside this process makes for a running request from those
// of outside callers that connect from the same host. Only the times of a request tell them apart:
// a call is made while a run lasts and ends with it. A wrong answer changes the order in which
// requests are served, and what CallRoom learns.
//
//   if (source.isCall(route, room.mayBeCall(deadline, now), now)) { ... }
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace kumquat {

// Not thread-safe.
class CallSource
{
public:
    // Returns whether a request of the own host is a call. `mayBeCall`: a run that can have made it
    // is known. A route whose requests often have no such run belongs to outside callers, also
    // where a run could have made one of them by chance.
    bool isCall(std::uint64_t route, bool mayBeCall, Time now)
    {
        if (this->routes.size() >= maxRoutes && !this->routes.contains(route)) {
            this->routes.clear(); // drops removed routes; the others are seen again
        }
        const auto [entry, isFirst] = this->routes.try_emplace(route);
        Doubt &doubt = entry->second;
        if (now - doubt.at >= lifetime) {
            doubt.score = 0;
        }
        if (mayBeCall) {
            doubt.score = std::max(0.0, doubt.score - 1.0 / callsPerMistake);
        } else {
            doubt.score = isFirst ? maxScore : std::min(maxScore, doubt.score + 1);
            doubt.at = now;
        }
        return mayBeCall && doubt.score < minScore;
    }

private:
    struct Doubt
    {
        double score = 0;
        Time at{}; // of the latest request that was no call
    };

    // A busy process may read a call after the end of its run, so one in this many may seem to have
    // none. The first request of a route counts more: mistakes are rare.
    static constexpr double callsPerMistake = 50;
    static constexpr double minScore = 1.5; // of a route of outside callers
    static constexpr double maxScore = 3;
    // Long compared with the times for which an upstream is busy without a pause.
    static constexpr Duration lifetime = 10min;
    static constexpr std::size_t maxRoutes = 1024;

    std::unordered_map<std::uint64_t, Doubt> routes;
};

} // namespace kumquat
