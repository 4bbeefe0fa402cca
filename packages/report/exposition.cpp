// Sections: writer, report
#include "report/exposition.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>

#include <array>
#include <charconv>
#include <cmath>

namespace kumquat {
namespace {

// Returns the shortest text that parses to the same number.
std::string formatNumber(double value)
{
    if (!std::isfinite(value)) {
        return std::isnan(value) ? "NaN" : value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

std::string escapeLabel(const std::string &value)
{
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

// --- writer ---

void ExpositionWriter::addFamily(std::string_view name, std::string_view type,
                                 std::string_view help)
{
    const std::string escaped = absl::StrReplaceAll(toAbsl(help), {{"\\", "\\\\"}, {"\n", "\\n"}});
    absl::StrAppend(&this->output, "# HELP ", toAbsl(name), " ", escaped, "\n");
    absl::StrAppend(&this->output, "# TYPE ", toAbsl(name), " ", toAbsl(type), "\n");
}

void ExpositionWriter::addSample(std::string_view name, const std::vector<ExpositionLabel> &labels,
                                 double value)
{
    std::vector<std::string> pairs;
    pairs.reserve(labels.size());
    for (const ExpositionLabel &label : labels) {
        pairs.push_back(absl::StrCat(toAbsl(label.name), "=\"", escapeLabel(label.value), "\""));
    }
    const std::string inBraces =
            pairs.empty() ? "" : absl::StrCat("{", absl::StrJoin(pairs, ","), "}");
    absl::StrAppend(&this->output, toAbsl(name), inBraces, " ", formatNumber(value), "\n");
}

// --- report ---

namespace {

void writeCounters(ExpositionWriter &writer, const Report &report)
{
    writer.addFamily("kumquat_requests_total", "counter",
                     "Answered requests by rule prefix and error kind.");
    for (const PrefixReport &entry : report.prefixes) {
        for (std::size_t index = 0; index < entry.kinds.size(); ++index) {
            const std::string kind(errorInfo(static_cast<ErrorKind>(index)).name);
            if (entry.kinds[index] > 0) {
                writer.addSample("kumquat_requests_total",
                                 {{"prefix", entry.prefix}, {"kind", kind}},
                                 static_cast<double>(entry.kinds[index]));
            }
        }
    }
    writer.addFamily("kumquat_upstream_failures_total", "counter",
                     "Upstream answers of HTTP 500 and above by rule prefix.");
    for (const PrefixReport &entry : report.prefixes) {
        writer.addSample("kumquat_upstream_failures_total", {{"prefix", entry.prefix}},
                         static_cast<double>(entry.upstreamFailures));
    }
}

void writeLatencies(ExpositionWriter &writer, const Report &report)
{
    const std::string name = "kumquat_request_seconds";
    writer.addFamily(name, "summary",
                     "Latency by rule prefix; quantiles over the last one to two minutes.");
    for (const PrefixReport &entry : report.prefixes) {
        const auto addQuantile = [&](const char *quantile, Duration value) {
            writer.addSample(name, {{"prefix", entry.prefix}, {"quantile", quantile}},
                             toSeconds(value));
        };
        addQuantile("0.5", entry.latency.p50);
        addQuantile("0.99", entry.latency.p99);
        addQuantile("0.999", entry.latency.p999);
        writer.addSample(name + "_sum", {{"prefix", entry.prefix}}, entry.latencySum);
        writer.addSample(name + "_count", {{"prefix", entry.prefix}},
                         static_cast<double>(entry.requests()));
    }
}

void writeBurnRates(ExpositionWriter &writer, const Report &report)
{
    const std::string name = "kumquat_objective_burn_rate";
    writer.addFamily(name, "gauge",
                     "Share of bad requests over the share that the objective allows.");
    for (const ObjectiveReport &entry : report.objectives) {
        for (const Measure measure : allMeasures) {
            const std::string measureName(measureNames.nameOf(measure));
            for (int window = 0; window < burnWindowCount; ++window) {
                writer.addSample(name,
                                 {{"objective", entry.objective.name},
                                  {"measure", measureName},
                                  {"window", std::string(burnWindows.at(window).name)}},
                                 entry.burnRate(measure, window));
            }
        }
    }
}

void writeBurns(ExpositionWriter &writer, const Report &report)
{
    const std::string name = "kumquat_objective_burning_seconds";
    writer.addFamily(name, "gauge", "Time for which an objective has burned; 0 if it does not.");
    for (const ObjectiveReport &entry : report.objectives) {
        for (const Measure measure : allMeasures) {
            const Duration burning = entry.burningFor(measure).value_or(Duration::zero());
            writer.addSample(name,
                             {{"objective", entry.objective.name},
                              {"measure", std::string(measureNames.nameOf(measure))}},
                             toSeconds(burning));
        }
    }
}

} // namespace

void writeReport(ExpositionWriter &writer, const Report &report)
{
    writeCounters(writer, report);
    writeLatencies(writer, report);
    writeBurnRates(writer, report);
    writeBurns(writer, report);
}

} // namespace kumquat
