#include "report/collector.h"

#include <utility>

namespace kumquat {
namespace {

constexpr int minServerErrorStatus = 500; // HTTP status

bool hasFailed(const RequestSample &request)
{
    const int status = request.kind == ErrorKind::None ? request.httpStatus
                                                       : errorInfo(request.kind).httpStatus;
    return status >= minServerErrorStatus;
}

bool isCallerError(const RequestSample &request)
{
    return request.kind != ErrorKind::None && !hasFailed(request);
}

WindowCounts countFor(const Objective &objective, const RequestSample &request)
{
    WindowCounts counts;
    counts.requests = 1;
    if (hasFailed(request)) {
        counts.failed = 1;
        counts.causes.at(static_cast<std::size_t>(request.kind)) = 1;
    } else if (request.latency > objective.latency) {
        counts.slow = 1;
    }
    return counts;
}

} // namespace

ReportCollector::ReportCollector(const std::vector<Objective> &objectives)
{
    for (const Objective &objective : objectives) {
        this->trackers.emplace_back(objective);
    }
}

ReportCollector::Prefix &ReportCollector::findPrefix(std::string_view prefix)
{
    const auto found = this->prefixes.find(prefix);
    if (found != this->prefixes.end()) {
        return found->second;
    }
    if (this->prefixes.size() >= maxReportPrefixes && prefix != overflowPrefix) {
        return this->findPrefix(overflowPrefix);
    }
    Prefix &entry = this->prefixes[std::string(prefix)];
    entry.totals.prefix = std::string(prefix);
    for (std::size_t index = 0; index < this->trackers.size(); ++index) {
        if (prefix.starts_with(this->trackers[index].objective().pathPrefix)) {
            entry.objectives.push_back(index);
        }
    }
    return entry;
}

void ReportCollector::record(const RequestSample &request, Time now)
{
    Prefix &entry = this->findPrefix(request.prefix);
    ++entry.totals.kinds.at(static_cast<std::size_t>(request.kind));
    entry.totals.latencySum += std::chrono::duration<double>(request.latency).count();
    if (request.kind == ErrorKind::None && hasFailed(request)) {
        ++entry.totals.upstreamFailures;
    }
    entry.latency.add(request.latency, now);
    if (isCallerError(request)) {
        return;
    }
    for (const std::size_t index : entry.objectives) {
        BurnTracker &tracker = this->trackers[index];
        tracker.add(countFor(tracker.objective(), request), now);
    }
}

Report ReportCollector::makeReport(Time now)
{
    Report report;
    for (auto &[prefix, entry] : this->prefixes) {
        report.prefixes.push_back(entry.totals);
        report.prefixes.back().latency = entry.latency.quantiles(now);
    }
    for (BurnTracker &tracker : this->trackers) {
        report.objectives.push_back(tracker.makeReport(now));
    }
    return report;
}

} // namespace kumquat
