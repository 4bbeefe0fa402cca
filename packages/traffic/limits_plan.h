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
inline constexpr Duration disturbanceStart = 5s; // of the disturbance
inline constexpr Duration observationTime = 15s; // after the disturbance
inline constexpr Duration bucketLength = 250ms;
inline constexpr double normalFailureShare =
        0.01; // share of failures in a bucket that still is normal
inline constexpr std::size_t maxFixedQueue = 256;
inline constexpr int maxUnlimitedAttempts = 10;
inline constexpr int maxCallerRetries = 2; // after a not-run answer, within the deadline
inline constexpr Duration callerBackoff = 20ms;
inline constexpr Duration processBackoff = 10ms;
inline constexpr Duration refusalLatency = 100us; // of an upstream that sheds or is unreachable

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

// How much slower a cold endpoint works with `running` requests at a time: contention grows with
// their square, so that it does most with 4 at a time at first, and ends with a time constant of 1
// s.
inline double coldSlowdown(Duration sinceStart, std::size_t running)
{
    const auto count = static_cast<double>(running);
    return 1 + 0.06 * count * count * std::exp(-toSeconds(sinceStart));
}

// Loads and capacities of a scenario; the disturbance begins at `start`.
struct ScenarioPlan
{
    double load = 0.5;          // share of the capacity outside the disturbance
    double disturbedLoad = 0.5; // during the disturbance
    Duration length = 20s;      // of the disturbance
    double capacity = 1;        // share of the capacity that the endpoint has during it
    Duration outage{};          // at the start of the disturbance, without connections
    Duration cold{};            // after the disturbance; the figures include it
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
