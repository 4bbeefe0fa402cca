// Collects what the report of a process contains. It reads no clock and takes no lock.
//
//   ReportCollector collector(settings.objectives);
//   collector.record({rule->prefix, ErrorKind::None, 200, 3ms}, now);
//   Report report = collector.makeReport(now);
#pragma once

#include "report/burn.h"
#include "report/quantiles.h"
#include "report/report.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// Rules may change for as long as the process runs; requests of further prefixes are counted
// under overflowPrefix.
inline constexpr std::size_t maxReportPrefixes = 1'024;
inline constexpr std::string_view overflowPrefix = "(other)";

// One request that has been answered.
struct RequestSample
{
    std::string_view prefix; // of its rule, "" without one
    ErrorKind kind = ErrorKind::None;
    int httpStatus = 200; // of the answer
    Duration latency{};   // from the receipt of the request to the end of the answer
};

// Not thread-safe: the caller holds a lock around each call.
class ReportCollector
{
public:
    explicit ReportCollector(const std::vector<Objective> &objectives);

    // Counts a request. Times should not decrease; an earlier one counts as the last.
    void record(const RequestSample &request, Time now);

    // Returns the report at this time.
    Report makeReport(Time now);

private:
    struct Prefix
    {
        PrefixReport totals;
        LatencyWindow latency;
        std::vector<std::size_t> objectives; // indices into `trackers`
    };

    Prefix &findPrefix(std::string_view prefix);

    std::map<std::string, Prefix, std::less<>> prefixes;
    std::vector<BurnTracker> trackers;
};

} // namespace kumquat
