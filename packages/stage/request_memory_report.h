// Metrics and log lines about the bytes that callers make this process hold.
//
//   RequestMemoryReport report(budget, metrics);
//   report.advance(now); // every 50 ms
#pragma once

#include "net/byte_budget.h"
#include "stage/metrics.h"

#include <cstdint>

namespace kumquat {

// Retry time for callers whose requests found no room. Stalled bodies give way after half of it.
inline constexpr Duration memoryRetry = 1s;

// Used on one thread.
class RequestMemoryReport
{
public:
    RequestMemoryReport(const ByteBudget &byteBudget, Metrics &stageMetrics)
        : budget(byteBudget)
        , metrics(stageMetrics)
    {}

    // Updates the metrics. Logs at most one line per second, and only after refusals or evictions.
    void advance(Time now);

private:
    const ByteBudget &budget;
    Metrics &metrics;
    std::uint64_t loggedRefused = 0;
    std::uint64_t loggedEvicted = 0;
    Time loggedAt = -1h;
};

} // namespace kumquat
