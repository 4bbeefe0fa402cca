// Constants and scenarios of the limits model.
#pragma once

#include "base/time.h"
#include "traffic/limits_model.h"

#include <cmath>
#include <cstddef>
#include <cstdint>

namespace kumquat {

inline constexpr std::size_t workerCount = 10;
inline constexpr double medianServiceSeconds = 0.002;
inline constexpr double serviceSigma = 0.5; // of the log-normal service time
inline constexpr std::uint32_t connectionCount = 130;
inline constexpr Duration disturbanceStart = 5s;
inline constexpr Duration observationTime = 15s; // simulated time after the disturbance
inline constexpr Duration bucketLength = 250ms;
// Largest share of failures in a bucket that counts as normal.
inline constexpr double normalFailureShare = 0.01;
inline constexpr std::size_t maxFixedQueue = 256;
inline constexpr int maxUnlimitedAttempts = 10;
inline constexpr int maxCallerRetries = 2; // after not-run answers, within the deadline
inline constexpr Duration callerBackoff = 20ms;
inline constexpr Duration processBackoff = 10ms;
// Time after which an upstream that sheds load or is unreachable refuses a request.
inline constexpr Duration refusalLatency = 100us;

inline double meanServiceSeconds()
{
    return medianServiceSeconds * std::exp(serviceSigma * serviceSigma / 2);
}

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e9));
}

// Returns the factor by which a cold endpoint with `running` requests at a time is slower.
// Contention grows with the square of `running`, so that throughput is highest with 4 requests at a
// time at first, and decays with a time constant of 1 s.
inline double coldSlowdown(Duration sinceStart, std::size_t running)
{
    const auto count = static_cast<double>(running);
    return 1 + 0.06 * count * count * std::exp(-toSeconds(sinceStart));
}

// Loads and capacities of a scenario. The disturbance begins at disturbanceStart.
struct ScenarioPlan
{
    double load = 0.5;          // share of the capacity, outside the disturbance
    double disturbedLoad = 0.5; // share of the capacity, during the disturbance
    Duration length = 20s;      // duration of the disturbance
    double capacity = 1;        // share of the normal capacity during the disturbance
    Duration outage{};          // time without connections at the start of the disturbance
    Duration cold{};            // time after the disturbance that the figures include
    std::uint32_t slots = workerCount;
};

inline ScenarioPlan planOf(LimitScenario scenario)
{
    switch (scenario) {
    case LimitScenario::HalfLoad:
        return {};
    case LimitScenario::TwiceLoad:
        return {.disturbedLoad = 2};
    case LimitScenario::Frozen:
        return {.length = 3s};
    case LimitScenario::Sheds:
        return {.load = 0.8, .disturbedLoad = 0.8, .length = 10s, .capacity = 0.5};
    case LimitScenario::MisleadingHealth:
        return {.length = 10s, .capacity = 1 / 3.0, .slots = 40};
    case LimitScenario::ColdStart:
        return {.load = 0.6, .disturbedLoad = 0.6, .length = 500ms, .outage = 500ms, .cold = 3s};
    }
    return {};
}

} // namespace kumquat
