#include "stage/metrics.h"

#include "base/durations.h"
#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace kumquat {
namespace {

// Upper bounds of the histogram buckets in seconds; the latency objectives of the services lie
// between 0.1 and 0.8 s.
constexpr std::array<double, 12> bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                        0.3,   0.4,  0.5,   0.8,  1.5, 3.0};

} // namespace

void Metrics::addLatency(Duration latency, Time now)
{
    const double value = toSeconds(latency);
    const auto bound = std::lower_bound(bounds.begin(), bounds.end(), value);
    ++this->buckets[static_cast<std::size_t>(bound - bounds.begin())];
    this->latencySum += value;
    this->window.add(latency, now);
}

std::string Metrics::toText(Time now)
{
    std::string text;
    for (const auto &entry : metricNames.entries) {
        absl::StrAppend(&text, "kumquatstage_", toAbsl(entry.name), "_total ",
                        this->values[static_cast<std::size_t>(entry.value)], "\n");
    }
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        sum += this->buckets[i];
        absl::StrAppend(&text, "kumquatstage_request_seconds_bucket{le=\"", bounds[i], "\"} ", sum,
                        "\n");
    }
    sum += this->buckets[bucketCount];
    absl::StrAppend(&text, "kumquatstage_request_seconds_bucket{le=\"+Inf\"} ", sum, "\n",
                    "kumquatstage_request_seconds_count ", sum, "\n",
                    "kumquatstage_request_seconds_sum ", this->latencySum, "\n");
    const LatencyQuantiles quantiles = this->window.quantiles(now);
    absl::StrAppend(&text, "kumquatstage_request_seconds{quantile=\"0.5\"} ",
                    toSeconds(quantiles.p50), "\n",
                    "kumquatstage_request_seconds{quantile=\"0.99\"} ", toSeconds(quantiles.p99),
                    "\n");
    return text;
}

} // namespace kumquat
