// A circuit breaker that only bench_limits uses, to compare it with the limiter alone. Processes do
// not use it.
#pragma once

#include "base/names.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace kumquat {

enum class BreakerState : std::uint8_t { Closed, Open, HalfOpen };

inline constexpr NameTable<BreakerState, 3> breakerStateNames{
        {{{BreakerState::Closed, "closed"},
          {BreakerState::Open, "open"},
          {BreakerState::HalfOpen, "half-open"}}}};

struct BreakerSettings
{
    std::size_t windowSize = 200;       // recent outcomes that are evaluated
    std::size_t failureThreshold = 160; // failures among them that open the breaker
    Duration openTime = 1s;             // time from opening to half-open
    std::size_t maxProbes = 10;         // attempts allowed while half-open
    std::size_t successThreshold = 3;   // successful probes that close the breaker
};

class Breaker
{
public:
    explicit Breaker(BreakerSettings settings = {});

    // Returns whether an attempt may start. While half-open, the attempt counts as a probe.
    bool allow(Time now);

    // Records the outcome of an attempt that allow() admitted.
    void noteOutcome(bool success, Time now);

    BreakerState state() const { return this->current; }

private:
    void open(Time now);
    void noteProbe(bool success, Time now);

    BreakerSettings settings;
    BreakerState current = BreakerState::Closed;
    std::deque<bool> outcomes; // true: failure
    std::size_t failureCount = 0;
    Time openedAt{};
    std::size_t probesStarted = 0;
    std::size_t probesEnded = 0;
    std::size_t probeSuccesses = 0;
};

} // namespace kumquat
