// Tells the requests that the upstream beside this process makes for a running request from those
// of outside callers that connect from the same host. A wrong answer changes only the order in
// which requests are served.
//
//   if (source.isCall(route, room.isWorking(now), now)) { ... }
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace kumquat {

// Not thread-safe.
class CallSource
{
public:
    // Returns whether a request of the own host is a call. A route that is requested while the
    // upstream runs nothing is used by outside callers, so its requests count as theirs for some
    // time.
    bool isCall(std::uint64_t route, bool isUpstreamWorking, Time now)
    {
        const auto found = this->outsideRoutes.find(route);
        const bool isOutside =
                found != this->outsideRoutes.end() && now - found->second < outsideLifetime;
        if (isUpstreamWorking) {
            return !isOutside;
        }
        if (this->outsideRoutes.size() >= maxRoutes && found == this->outsideRoutes.end()) {
            this->outsideRoutes.clear(); // drops removed routes; the others are seen again
        }
        this->outsideRoutes[route] = now;
        return false;
    }

private:
    // Long compared with the times for which an upstream is busy without a pause.
    static constexpr Duration outsideLifetime = 10min;
    static constexpr std::size_t maxRoutes = 1024;

    std::unordered_map<std::uint64_t, Time> outsideRoutes; // when they were seen last
};

} // namespace kumquat
