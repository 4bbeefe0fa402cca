// Simulates one endpoint, its owner's process and its callers in virtual time, to measure the
// effect of limits.
//
//   LimitFigures figures = runLimitModel(LimitScenario::TwiceLoad, LimitVariant::Limiter, 1);
#pragma once

#include "base/names.h"

#include <cstdint>

namespace kumquat {

enum class LimitScenario : std::uint8_t {
    HalfLoad,  // load is half of the capacity throughout
    TwiceLoad, // load is twice the capacity for 20 s
    Frozen,    // half load; the endpoint stops for 3 s
    Sheds,     // load 0.8 of the capacity; for 10 s the endpoint refuses all above 5 at a time
    MisleadingHealth, // half load; for 10 s the endpoint is 3 times slower and announces 40 slots
    ColdStart,        // load 0.6 of the capacity; a restart takes 0.5 s, then contention slows it
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
    FixedLimit,     // limit is the announced slots; queue of 256 without deadline checks
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
    double usefulShare = 0;    // work answered in time, as a share of what the endpoint could do
    double p50Ms = 0;          // latency of admitted requests, from arrival to answer or deadline
    double p99Ms = 0;          // measured as p50Ms
    double lateShare = 0;      // share of admitted requests without an answer by the deadline
    double refusedShare = 0;   // share of all requests that finally got a not-run answer
    std::uint64_t retries = 0; // attempts after the first, by the process and the callers
    std::uint64_t unsafeRetries = 0; // retries of requests that may have run before
    // From the end of the disturbance to the end of the last 250 ms with more than 1 % of failures;
    // -1 if there is no recovery within 15 s.
    double recoverySeconds = 0;
};

// Runs one scenario. The same seed gives the same figures.
LimitFigures runLimitModel(LimitScenario scenario, LimitVariant variant, std::uint64_t seed);

} // namespace kumquat
