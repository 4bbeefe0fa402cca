// Latency quantiles over a moving window, in bounded memory.
//
//   LatencyWindow window;
//   window.add(3ms, now);
//   window.quantiles(now).p99;
#pragma once

#include "report/report.h"

#include <memory>

namespace kumquat {

inline constexpr Duration quantilePeriod = 1min;

// Estimates quantiles over the current or the previous period, whichever has more requests. Not
// thread-safe.
class LatencyWindow
{
public:
    LatencyWindow();
    ~LatencyWindow();
    LatencyWindow(LatencyWindow &&) noexcept;
    LatencyWindow &operator=(LatencyWindow &&) noexcept;

    // Adds one latency. A time before that of the previous call counts as the time of that call.
    void add(Duration latency, Time now);

    // Returns the estimates as of this time.
    LatencyQuantiles quantiles(Time now);

private:
    struct Estimator; // keeps Boost.Accumulators out of this header

    void advance(Time now);

    std::int64_t period = 0; // number of the current period
    std::unique_ptr<Estimator> current;
    std::unique_ptr<Estimator> last;
};

} // namespace kumquat
