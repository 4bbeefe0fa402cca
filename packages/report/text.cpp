// The report as tables of text.
#include "base/text.h"
#include "report/report.h"
#include "report/table.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace kumquat {
namespace {

std::string formatMs(Duration duration)
{
    return absl::StrFormat("%.1f", std::chrono::duration<double, std::milli>(duration).count());
}

std::string formatAge(Duration age)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
    if (seconds < 60) {
        return absl::StrCat(seconds, " s");
    }
    const auto minutes = seconds / 60;
    return minutes < 60 ? absl::StrCat(minutes, " min")
                        : absl::StrCat(minutes / 60, " h ", minutes % 60, " min");
}

std::string formatErrors(const PrefixReport &entry)
{
    std::string text;
    for (std::size_t index = 1; index < entry.kinds.size(); ++index) {
        if (entry.kinds[index] > 0) {
            absl::StrAppend(&text, text.empty() ? "" : " ",
                            toAbsl(errorInfo(static_cast<ErrorKind>(index)).name), "=",
                            entry.kinds[index]);
        }
    }
    if (entry.upstreamFailures > 0) {
        absl::StrAppend(&text, text.empty() ? "" : " ", toAbsl(causeName(ErrorKind::None)), "=",
                        entry.upstreamFailures);
    }
    return text;
}

std::string formatPrefixes(const Report &report)
{
    TextTable table({"PREFIX", "REQUESTS", "P50 MS", "P99 MS", "P99.9 MS", "ERRORS"});
    for (const PrefixReport &entry : report.prefixes) {
        table.addRow({entry.prefix.empty() ? "(no rule)" : entry.prefix,
                      absl::StrCat(entry.requests()), formatMs(entry.latency.p50),
                      formatMs(entry.latency.p99), formatMs(entry.latency.p999),
                      formatErrors(entry)});
    }
    return table.toString();
}

std::string formatTarget(const Objective &objective, Measure measure)
{
    if (measure == Measure::Availability) {
        return absl::StrFormat("%g %%", objective.availability * 100);
    }
    return absl::StrFormat("%g %% in %g ms", objective.latencyShare * 100,
                           std::chrono::duration<double, std::milli>(objective.latency).count());
}

std::string formatObjectives(const Report &report)
{
    TextTable table({"OBJECTIVE", "MEASURE", "TARGET", "BURN 5M", "BURN 1H", "BURN 6H",
                     "BURNING FOR", "LARGEST CAUSE"});
    for (const ObjectiveReport &entry : report.objectives) {
        for (const Measure measure : allMeasures) {
            const auto rate = [&entry, measure](int window) {
                return absl::StrFormat("%.2f", entry.burnRate(measure, window));
            };
            const std::optional<Duration> burning = entry.burningFor(measure);
            table.addRow({entry.objective.name, std::string(measureNames.nameOf(measure)),
                          formatTarget(entry.objective, measure), rate(0), rate(1), rate(2),
                          burning ? formatAge(*burning) : "",
                          std::string(entry.largestCause(measure))});
        }
    }
    return table.toString();
}

} // namespace

std::string formatReport(const Report &report)
{
    const std::string prefixes = formatPrefixes(report);
    return report.objectives.empty() ? prefixes
                                     : absl::StrCat(prefixes, "\n", formatObjectives(report));
}

} // namespace kumquat
