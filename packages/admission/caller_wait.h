// Estimates for how long the caller of a request has been waiting: a caller whose request was
// refused comes back with less time left, and its objective counts from its first attempt.
//
//   const Duration waited = callerWait.note(route, remaining, now);
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace kumquat {

struct CallerWaitSettings
{
    // Callers of a route begin with a few usual times. A time counts as usual if at least this
    // share of the latest requests had it. Times that are left after a refusal are spread out.
    double minUsualShare = 0.05;
    double minRequests = 20;      // before anything is estimated
    double learnedRequests = 500; // over which shares are averaged
    Duration resolution = 10ms;   // times that differ by less are the same
    std::size_t maxRoutes = 1024; // others have no estimate
    std::size_t maxTimes = 512;   // of one route
};

// Not thread-safe.
class CallerWait
{
public:
    explicit CallerWait(CallerWaitSettings waitSettings = {})
        : settings(waitSettings)
    {}

    // Records a request with the time that its caller still waits for the answer. Returns for how
    // long the caller has been waiting already: the next longer usual time of the route, less
    // `remaining`; 0 if it is unknown.
    Duration note(std::uint64_t route, Duration remaining);

private:
    struct Route
    {
        double requests = 0;                  // decaying count
        std::map<std::int64_t, double> times; // decaying counts, by multiple of the resolution
        std::size_t sinceDecay = 0;
    };

    void decay(Route &route) const;

    CallerWaitSettings settings;
    std::unordered_map<std::uint64_t, Route> routes;
};

} // namespace kumquat
