// A model in virtual time of one endpoint, its owner's process and its callers, to measure limits.
//
//   LimitFigures figures = runLimitModel(LimitScenario::TwiceLoad, LimitVariant::Limiter, 1);
#pragma once

#include "base/names.h"

#include <cstdint>

namespace kumquat {

enum class LimitScenario : std::uint8_t {
    HalfLoad,         // half of the capacity throughout
    TwiceLoad,        // twice the capacity for 20 s
    Frozen,           // half load; the endpoint stops for 3 s
    Sheds,            // 0.8 of the capacity; for 10 s it refuses what exceeds 5 at a time
    MisleadingHealth, // half load; for 10 s it is 3 times slower and announces 40 slots
    ColdStart,        // 0.6 of the capacity; restarts in 0.5 s and is slowed by contention at first
};

inline constexpr NameTable<LimitScenario, 6> limitScenarioNames{
        {{{LimitScenario::HalfLoad, "half-load"},
          {LimitScenario::TwiceLoad, "twice-load"},
          {LimitScenario::Frozen, "frozen"},
          {LimitScenario::Sheds, "sheds"},
          {LimitScenario::MisleadingHealth, "misleading-health"},
          {LimitScenario::ColdStart, "cold-start"}}}};

enum class LimitVariant : std::uint8_t {
    None,           // no limit; callers try 10 times and repeat requests that may have run
    FixedLimit,     // announced slots, queue of 256 without a check of the deadline
    Limiter,        // EndpointLimiter
    LimiterBreaker, // EndpointLimiter and Breaker
};

inline constexpr NameTable<LimitVariant, 4> limitVariantNames{
        {{{LimitVariant::None, "none"},
          {LimitVariant::FixedLimit, "fixed-limit"},
          {LimitVariant::Limiter, "limiter"},
          {LimitVariant::LimiterBreaker, "limiter-breaker"}}}};

// Figures of the requests that arrived during the disturbance (HalfLoad: 20 s of steady load;
// ColdStart: the restart and 3 s after it).
struct LimitFigures
{
    LimitScenario scenario = LimitScenario::HalfLoad;
    LimitVariant variant = LimitVariant::None;
    std::uint64_t requests = 0;
    double usefulShare = 0;          // work answered in time, of what the endpoint could do then
    double p50Ms = 0;                // of admitted requests, from arrival to answer or deadline
    double p99Ms = 0;                // same
    double lateShare = 0;            // of admitted requests: no answer within the deadline
    double refusedShare = 0;         // of all requests: answered not-run in the end
    std::uint64_t retries = 0;       // attempts after the first, by the process and the callers
    std::uint64_t unsafeRetries = 0; // of these: the request may have run before
    double recoverySeconds = 0;      // from the end of the disturbance to the end of the last
                                     // 250 ms with more than 1 % of failures; -1: not in 15 s
};

// Runs one scenario; the same seed gives the same figures.
LimitFigures runLimitModel(LimitScenario scenario, LimitVariant variant, std::uint64_t seed);

} // namespace kumquat
