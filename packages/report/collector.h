// Collects the data for the report of a process. It does not read the clock and uses no lock.
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

// Limits the memory for prefixes, because rules may change while the process runs. Requests of
// further prefixes are counted under overflowPrefix.
inline constexpr std::size_t maxReportPrefixes = 1'024;
inline constexpr std::string_view overflowPrefix = "(other)";

// One request that has been answered.
struct RequestSample
{
    std::string_view prefix; // of the rule that matched, "" if none did
    ErrorKind kind = ErrorKind::None;
    int httpStatus = 200; // status of the answer
    Duration latency{};   // from the start of the handling until the answer is ready
};

// Not thread-safe: the caller must hold a lock during each call.
class ReportCollector
{
public:
    explicit ReportCollector(const std::vector<Objective> &objectives);

    // Counts a request. Times should not decrease: a time before that of the previous call counts
    // as the time of that call.
    void record(const RequestSample &request, Time now);

    // Returns the report as of this time.
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
